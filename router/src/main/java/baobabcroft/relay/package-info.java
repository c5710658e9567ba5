/**
 * Serves a caller's request: admits or refuses it, sends it to endpoints, retries it and resumes its stream.
 *
 * <p>{@link baobabcroft.relay.RelayedRequest} is the aggregate root. It uses no network types: the front end passes in
 * a {@link baobabcroft.relay.CallerExchange} and an {@link baobabcroft.relay.EndpointTransport}, and a
 * {@link baobabcroft.relay.RequestDialect} translates between wire headers and the types of this package. All code in
 * this package runs on one thread.
 */
package baobabcroft.relay;
