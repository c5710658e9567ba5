/**
 * Routing configuration: the routes, services, caller limits and client accounts of one configuration version.
 *
 * <p>{@link baobabcroft.routing.RoutingTable} is immutable. {@link baobabcroft.routing.RoutingTableHolder} never
 * replaces it by an older version.
 */
package baobabcroft.routing;
