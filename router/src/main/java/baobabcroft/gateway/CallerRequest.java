package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.AccountRule;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What the router knows of a request before looking into its body.
 *
 * @param account the client account
 * @param requestId random identifier of this arrival
 * @param idempotencyKey the caller's name for the request, if it gave one
 * @param session the caller's session, if it named one
 * @param arrivedNanos monotonic time of arrival, in nanoseconds
 * @param deadlineNanos monotonic time by which the whole answer is wanted, in nanoseconds
 * @param deadlineEpochMillis the same by the wall clock, in milliseconds since the epoch
 */
public record CallerRequest(
        AccountRule account,
        String requestId,
        Optional<String> idempotencyKey,
        Optional<String> session,
        long arrivedNanos,
        long deadlineNanos,
        long deadlineEpochMillis) {
    /** Checks the parts. */
    public CallerRequest {
        checkNotNull(account);
        checkNotNull(requestId);
        checkNotNull(idempotencyKey);
        checkNotNull(session);
    }

    /**
     * Returns the time left until the deadline.
     *
     * @param nowNanos monotonic time in nanoseconds
     * @return milliseconds, zero or less when the deadline has passed
     */
    public long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
    }

    /**
     * Returns the name under which the request is billed.
     *
     * @param bodyDigest digest of the request's body
     * @return the caller's key with the body's digest, so that another body is another bill; without a key, the random
     *     identifier
     */
    public String billingId(String bodyDigest) {
        return idempotencyKey.map(key -> "key:" + key + ":" + bodyDigest).orElse("request:" + requestId);
    }

    /**
     * Returns what decides the share of a roll-out that the request falls into.
     *
     * @return the session if there is one, else the request's own identifier
     */
    public String assignmentKey() {
        return session.orElse(requestId);
    }
}
