/**
 * Calls to endpoints, with a verdict on each failure.
 *
 * <p>{@link baobabcroft.endpoint.EndpointClient} is the port; {@link baobabcroft.endpoint.PekkoEndpointClient} speaks
 * HTTP.
 */
package baobabcroft.endpoint;
