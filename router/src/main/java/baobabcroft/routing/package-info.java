/**
 * Which service serves a request, and for whom: the operators' routes, services, caller limits and client accounts at
 * one configuration version.
 *
 * <p>{@link baobabcroft.routing.RoutingTable} is immutable and never replaced by an older version; see
 * {@link baobabcroft.routing.RoutingTableHolder}.
 */
package baobabcroft.routing;
