/**
 * HTTP transport of the relay path, based on Netty and run on a single thread: connections of callers, connections to
 * endpoints, and the readiness and metrics pages.
 *
 * <p>{@link baobabcroft.front.FrontServer} receives requests, {@link baobabcroft.relay.RelayedRequest} serves them, and
 * {@link baobabcroft.front.EndpointConnectionPool} sends them to endpoints. All decisions are made in package relay.
 */
package baobabcroft.front;
