package baobabcroft.retry;

import static com.google.common.base.Preconditions.checkArgument;

import baobabcroft.common.Execution;
import baobabcroft.retry.RetryDecision.Retry;
import baobabcroft.retry.RetryDecision.Stop;
import baobabcroft.retry.RetryDecision.StopReason;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Retries requests that have certainly not run or are idempotent, within the limits of attempts, deadline and budget.
 * The delay before a retry is exponential backoff with full jitter.
 *
 * @param maxAttempts maximum number of attempts of one request, including the first
 * @param baseDelayMillis upper bound of the delay before the first retry, in milliseconds; doubles with each attempt
 * @param maxDelayMillis limit of that upper bound, in milliseconds
 */
public record RetryPolicy(int maxAttempts, long baseDelayMillis, long maxDelayMillis) {
    /** Validates the components. */
    public RetryPolicy {
        checkArgument(maxAttempts >= 1, "maxAttempts must be at least 1: %s", maxAttempts);
        checkArgument(baseDelayMillis >= 0, "baseDelayMillis must not be negative: %s", baseDelayMillis);
        checkArgument(
                maxDelayMillis >= baseDelayMillis,
                "maxDelayMillis must not be less than baseDelayMillis: %s",
                maxDelayMillis);
    }

    /**
     * Returns the default policy.
     *
     * @return a policy of three attempts with backoff of up to one second
     */
    public static RetryPolicy defaults() {
        return new RetryPolicy(3, 25, 1_000);
    }

    /**
     * Returns a policy without backoff, for services with many endpoints, where another endpoint is free.
     *
     * @param maxAttempts maximum number of attempts of one request, including the first
     * @return the policy
     */
    public static RetryPolicy immediate(int maxAttempts) {
        return new RetryPolicy(maxAttempts, 0, 0);
    }

    /**
     * Returns whether to retry a request. A retry takes a token from the budget.
     *
     * @param context state of the request after its last attempt
     * @param budget the retry budget that applies to the request
     * @param random source of jitter; confined to the calling thread
     * @return a retry after a delay, or the reason not to retry
     */
    public RetryDecision decide(RetryContext context, RetryBudget budget, UniformRandomProvider random) {
        Optional<StopReason> stop = stopReason(context);
        if (stop.isPresent()) {
            return new Stop(stop.get());
        }
        long delayMillis = delayMillis(context.attempts(), random);
        if (delayMillis + context.expectedMillis() >= context.remainingMillis()) {
            return new Stop(StopReason.DEADLINE);
        }
        return budget.tryTake() ? new Retry(delayMillis) : new Stop(StopReason.BUDGET);
    }

    private Optional<StopReason> stopReason(RetryContext context) {
        if (context.execution() == Execution.RAN) {
            return Optional.of(StopReason.ALREADY_RAN);
        }
        if (context.execution() == Execution.MAY_HAVE_RUN && !context.idempotent()) {
            return Optional.of(StopReason.NOT_REPEATABLE);
        }
        return context.attempts() >= maxAttempts ? Optional.of(StopReason.ATTEMPTS_USED) : Optional.empty();
    }

    private long delayMillis(int attempts, UniformRandomProvider random) {
        double bound = Math.min((double) maxDelayMillis, baseDelayMillis * Math.pow(2, attempts - 1));
        return (long) (random.nextDouble() * bound);
    }

    /**
     * Returns when a hedged attempt may start in parallel with a slow first one. Takes no token: the caller takes one
     * from the budget when it starts the attempt.
     *
     * @param slowMillis time after which the first attempt counts as slow, in milliseconds, such as a high percentile
     * @param context state of the request during its first attempt
     * @return time since the start of the first attempt, in milliseconds; empty if the request must not be hedged
     */
    public static OptionalLong hedgeAfterMillis(long slowMillis, RetryContext context) {
        boolean inTime = slowMillis + context.expectedMillis() < context.remainingMillis();
        return context.idempotent() && context.attempts() == 1 && inTime
                ? OptionalLong.of(slowMillis)
                : OptionalLong.empty();
    }
}
