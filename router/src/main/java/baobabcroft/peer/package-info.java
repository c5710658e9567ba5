/**
 * Requests and replies between instances: protobuf messages in length-prefixed frames over TCP.
 *
 * <p>Use {@link baobabcroft.peer.PeerTransport} to ask another instance something and to register what answers; the
 * real one is {@link baobabcroft.peer.NettyPeerTransport}. Both sides of a connection prove that they know the shared
 * key before anything else is read; what follows is neither encrypted nor signed.
 */
package baobabcroft.peer;
