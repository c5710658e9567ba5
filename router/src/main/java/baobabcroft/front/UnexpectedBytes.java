package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Bytes from an endpoint that are not the awaited response.
 *
 * @param kind how they differ from it
 * @param connectionKey key of the connection in its pool, which names the endpoint's incarnation
 * @param requestId id of the open request; empty if none is open
 * @param requests requests that were sent on the connection so far
 * @param detail what was received, for logs
 */
public record UnexpectedBytes(Kind kind, String connectionKey, String requestId, int requests, String detail) {
    /** How bytes differ from the awaited response. */
    public enum Kind {
        /** They arrived while no request was open. */
        IDLE,
        /** They followed the end of a response. */
        TRAILING,
        /** They are an informational response, or one without the request's id. */
        OTHER_RESPONSE,
        /** They cannot be decoded. */
        MALFORMED
    }

    /** Validates the components. */
    public UnexpectedBytes {
        checkNotNull(kind);
        checkNotNull(connectionKey);
        checkNotNull(requestId);
        checkNotNull(detail);
    }
}
