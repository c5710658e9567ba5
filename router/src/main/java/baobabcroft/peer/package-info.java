/**
 * Requests and replies between instances: protobuf messages in length-prefixed frames over TCP.
 *
 * <p>{@link baobabcroft.peer.PeerTransport} sends requests to other instances and registers handlers for theirs; the
 * production implementation is {@link baobabcroft.peer.NettyPeerTransport}. Both sides of a connection authenticate
 * with the shared key before any request is accepted; the messages that follow are neither encrypted nor signed.
 */
package baobabcroft.peer;
