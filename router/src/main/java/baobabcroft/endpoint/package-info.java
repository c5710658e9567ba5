/**
 * Calls to endpoints. Each failure states whether the endpoint may have executed the request.
 *
 * <p>{@link baobabcroft.endpoint.EndpointClient} is the interface; {@link baobabcroft.endpoint.PekkoEndpointClient}
 * implements it over HTTP.
 */
package baobabcroft.endpoint;
