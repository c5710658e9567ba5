package baobabcroft.admin;

/**
 * A non-idempotent request whose outcome is not known yet.
 *
 * @param account client account
 * @param idempotencyKey the caller's key
 * @param operation full name of the operation
 * @param instance the instance that claimed it
 * @param deadlineEpochMillis when its caller gives up, in milliseconds since 1970 UTC
 */
public record OpenClaimView(
        String account, String idempotencyKey, String operation, String instance, long deadlineEpochMillis) {}
