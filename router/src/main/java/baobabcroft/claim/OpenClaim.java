package baobabcroft.claim;

/**
 * A claim without a recorded outcome, as listed for operators.
 *
 * @param account client account
 * @param idempotencyKey idempotency key of the request
 * @param operation full name of the operation
 * @param claimingInstance name of the instance that claimed the request
 * @param claimedAtEpochMillis time of the claim, in milliseconds since the epoch
 * @param deadlineEpochMillis deadline of the caller's request, in milliseconds since the epoch
 */
public record OpenClaim(
        String account,
        String idempotencyKey,
        String operation,
        String claimingInstance,
        long claimedAtEpochMillis,
        long deadlineEpochMillis) {}
