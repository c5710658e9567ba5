package baobabcroft.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Execution;

/**
 * Input for the decision whether to retry a request.
 *
 * @param execution whether the request may have run
 * @param idempotent whether the request may be sent again after it may have run
 * @param attempts number of counted attempts so far; 0 if none was counted
 * @param remainingMillis time left until the request's deadline, in milliseconds; may be negative
 * @param expectedMillis expected time of another attempt, in milliseconds
 */
public record RetryContext(
        Execution execution, boolean idempotent, int attempts, long remainingMillis, long expectedMillis) {
    /** Validates the components. */
    public RetryContext {
        checkNotNull(execution);
        checkArgument(attempts >= 0, "attempts must not be negative: %s", attempts);
        checkArgument(expectedMillis >= 0, "expectedMillis must not be negative: %s", expectedMillis);
    }
}
