package baobabcroft.claim;

/**
 * A claim without an outcome, for operators.
 *
 * @param account client account
 * @param idempotencyKey the caller's key
 * @param operation full name of the operation
 * @param claimingInstance instance that claimed it
 * @param claimedAtEpochMillis when it was claimed, in milliseconds since the epoch
 * @param deadlineEpochMillis when its caller gives up, in milliseconds since the epoch
 */
public record OpenClaim(
        String account,
        String idempotencyKey,
        String operation,
        String claimingInstance,
        long claimedAtEpochMillis,
        long deadlineEpochMillis) {}
