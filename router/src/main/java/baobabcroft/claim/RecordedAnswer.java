package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * Answer of an endpoint, as it was recorded with the claim.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body the whole body
 */
public record RecordedAnswer(int status, String contentType, ByteString body) {
    /** Checks the parts. */
    public RecordedAnswer {
        checkNotNull(contentType);
        checkNotNull(body);
    }
}
