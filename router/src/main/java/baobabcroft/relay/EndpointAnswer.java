package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A complete answer of an endpoint that is not a stream.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body; not copied, must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
record EndpointAnswer(int status, Headers headers, byte[] body) {
    EndpointAnswer {
        checkNotNull(headers);
        checkNotNull(body);
    }

    /** Returns whether the answer is a server error. */
    boolean isFailure() {
        return status >= 500;
    }
}
