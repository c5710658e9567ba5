package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * A non-idempotent request that wants to be sent to an endpoint.
 *
 * @param account client account
 * @param idempotencyKey key that the caller chose for the request and all its repeats
 * @param bodyDigest digest of all that distinguishes the request: operation, body and content type
 * @param operation full name of the operation
 * @param priceMicros price of one call, in millionths of the currency unit
 * @param deadlineEpochMillis when the caller gives up, in milliseconds since the epoch
 */
public record ClaimRequest(
        String account,
        String idempotencyKey,
        ByteString bodyDigest,
        String operation,
        long priceMicros,
        long deadlineEpochMillis) {
    private static final int MAX_KEY_CHARS = 256;

    /** Checks the parts. */
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
