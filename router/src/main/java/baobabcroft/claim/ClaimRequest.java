package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * A non-idempotent request that has to be claimed before it is sent to an endpoint.
 *
 * @param account client account
 * @param idempotencyKey key that the caller chose for the request and all its repeats, 1 to 256 characters
 * @param bodyDigest digest of the operation, the body and the content type, which together identify the request
 * @param operation full name of the operation
 * @param priceMicros price of one call, in millionths of the currency unit; not negative
 * @param deadlineEpochMillis the caller's deadline, in milliseconds since the epoch
 */
public record ClaimRequest(
        String account,
        String idempotencyKey,
        ByteString bodyDigest,
        String operation,
        long priceMicros,
        long deadlineEpochMillis) {
    private static final int MAX_KEY_CHARS = 256;

    /** Checks the components. */
    public ClaimRequest {
        checkNotNull(account);
        checkArgument(
                !idempotencyKey.isEmpty() && idempotencyKey.length() <= MAX_KEY_CHARS,
                "idempotencyKey must have 1 to 256 characters, had %s",
                idempotencyKey.length());
        checkArgument(!bodyDigest.isEmpty(), "bodyDigest must not be empty");
        checkNotNull(operation);
        checkArgument(priceMicros >= 0, "priceMicros must not be negative, was %s", priceMicros);
    }
}
