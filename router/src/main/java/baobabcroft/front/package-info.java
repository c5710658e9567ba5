/**
 * The traffic path on the network: callers' connections, endpoints' connections, readiness, over Netty on one thread.
 *
 * <p>{@link baobabcroft.front.FrontServer} reads requests and hands them to {@link baobabcroft.relay.RelayedRequest};
 * {@link baobabcroft.front.EndpointConnections} carries them to endpoints. Decisions live in the relay package.
 */
package baobabcroft.front;
