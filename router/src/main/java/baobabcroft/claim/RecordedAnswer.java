package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * Answer of an endpoint, stored with the claim and returned to repeats of the request.
 *
 * @param status HTTP status code
 * @param contentType content type of the body
 * @param body the complete body
 */
public record RecordedAnswer(int status, String contentType, ByteString body) {
    /** Checks that content type and body are not null. */
    public RecordedAnswer {
        checkNotNull(contentType);
        checkNotNull(body);
    }
}
