package baobabcroft.peer;

/** Why a peer gave no answer. */
public enum PeerFailure {
    /** There is no address for this name. */
    UNKNOWN_PEER,
    /** Too many requests to this peer are waiting, or its connection does not take more bytes. */
    QUEUE_FULL,
    /** The connection could not be opened, or was refused lately and is not tried again yet. */
    NOT_CONNECTED,
    /** The peer does not know the shared key, or is not the one that was meant. */
    AUTHENTICATION_FAILED,
    /** The peer speaks another version of the protocol. */
    UNSUPPORTED_VERSION,
    /** No answer came in time. */
    TIMEOUT,
    /** The connection broke before the answer came. */
    CONNECTION_LOST,
    /** The peer has no handler for the request, or its handler failed. */
    REFUSED,
    /** This transport is closed. */
    CLOSED
}
