package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An endpoint's whole answer that is not a stream.
 *
 * @param status its status
 * @param headers its headers
 * @param body its body; not copied
 */
@SuppressWarnings("ArrayRecordComponent")
record EndpointAnswer(int status, Headers headers, byte[] body) {
    EndpointAnswer {
        checkNotNull(headers);
        checkNotNull(body);
    }

    /** Returns whether the endpoint itself failed. */
    boolean isFailure() {
        return status >= 500;
    }
}
