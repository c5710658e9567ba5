package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.AccountRule;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Metadata of a request, read from its headers.
 *
 * @param account the client account
 * @param requestId random identifier, new for each request that arrives
 * @param idempotencyKey the idempotency key, if the caller sent one
 * @param session name of the caller's session, if the caller sent one
 * @param arrivedNanos monotonic time of arrival, in nanoseconds
 * @param deadlineNanos monotonic time by which the response must be complete, in nanoseconds
 * @param deadlineEpochMillis wall-clock time of the same deadline, in milliseconds since the epoch
 */
public record CallerRequest(
        AccountRule account,
        String requestId,
        Optional<String> idempotencyKey,
        Optional<String> session,
        long arrivedNanos,
        long deadlineNanos,
        long deadlineEpochMillis) {
    /** Validates the components. */
    public CallerRequest {
        checkNotNull(account);
        checkNotNull(requestId);
        checkNotNull(idempotencyKey);
        checkNotNull(session);
    }

    /**
     * Returns the time left until the deadline.
     *
     * @param nowNanos current monotonic time, in nanoseconds
     * @return milliseconds; zero or negative once the deadline has passed
     */
    public long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
    }

    /**
     * Returns the identifier under which the request is billed. Charges with the same identifier are billed once.
     *
     * @param bodyDigest digest of the request body
     * @return the idempotency key with the body digest, so that requests with different bodies are billed separately;
     *     without a key, the random request identifier
     */
    public String billingId(String bodyDigest) {
        return idempotencyKey.map(key -> "key:" + key + ":" + bodyDigest).orElse("request:" + requestId);
    }

    /**
     * Returns the key that assigns the request to a version during a roll-out.
     *
     * @return the session, or the request identifier if there is no session
     */
    public String assignmentKey() {
        return session.orElse(requestId);
    }
}
