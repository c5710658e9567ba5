package baobabcroft.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Execution;

/**
 * What the decision on a retry needs to know.
 *
 * @param execution whether the request may have run
 * @param idempotent whether it may be repeated
 * @param attempt attempts so far; zero if no send counted as one
 * @param remainingMillis time until the answer is due, in milliseconds
 * @param expectedMillis expected time of another attempt, in milliseconds
 */
public record RetryContext(
        Execution execution, boolean idempotent, int attempt, long remainingMillis, long expectedMillis) {
    /** Checks the values. */
    public RetryContext {
        checkNotNull(execution);
        checkArgument(attempt >= 0, "negative attempt: %s", attempt);
        checkArgument(expectedMillis >= 0, "negative expectedMillis: %s", expectedMillis);
    }
}
