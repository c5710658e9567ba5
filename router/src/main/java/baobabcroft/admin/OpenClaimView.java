package baobabcroft.admin;

/**
 * A non-idempotent request whose outcome is not known yet.
 *
 * @param account name of the client account
 * @param idempotencyKey idempotency key that the caller sent
 * @param operation full name of the operation
 * @param instance name of the instance that claimed the request
 * @param deadlineEpochMillis deadline of the request, in milliseconds since the epoch
 */
public record OpenClaimView(
        String account, String idempotencyKey, String operation, String instance, long deadlineEpochMillis) {}
