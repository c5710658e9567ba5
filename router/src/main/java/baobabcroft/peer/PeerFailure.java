package baobabcroft.peer;

/** Reason why a request to a peer failed. */
public enum PeerFailure {
    /** No address is known for the name. */
    UNKNOWN_PEER,
    /** Too many requests to this peer are in flight, or the write buffer of its connection is full. */
    QUEUE_FULL,
    /** The connection could not be opened, or the backoff after a failed connect has not passed yet. */
    NOT_CONNECTED,
    /** The peer failed to authenticate with the shared key, rejected our proof, or has a different name. */
    AUTHENTICATION_FAILED,
    /** The peer uses another version of the protocol. */
    UNSUPPORTED_VERSION,
    /** No reply was received within the timeout. */
    TIMEOUT,
    /** The connection was lost before the reply was received. */
    CONNECTION_LOST,
    /** The peer has no handler for the request, its handler failed, or it has too many requests in progress. */
    REFUSED,
    /** The transport is closed, or the connection was replaced because the address of the peer changed. */
    CLOSED
}
