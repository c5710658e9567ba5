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
 * Repeats only what is provably not run or idempotent, within the attempts, the deadline and the budget.
 *
 * @param maxAttempts attempts of one request in all
 * @param baseDelayMillis bound of the delay before the first retry, in milliseconds; it doubles with each attempt
 * @param maxDelayMillis greatest bound of a delay, in milliseconds
 */
public record RetryPolicy(int maxAttempts, long baseDelayMillis, long maxDelayMillis) {
    /** Checks the values. */
    public RetryPolicy {
        checkArgument(maxAttempts >= 1, "maxAttempts under one: %s", maxAttempts);
        checkArgument(baseDelayMillis >= 0, "negative baseDelayMillis: %s", baseDelayMillis);
        checkArgument(maxDelayMillis >= baseDelayMillis, "maxDelayMillis under the base: %s", maxDelayMillis);
    }

    /**
     * Returns the policy used when operators give none.
     *
     * @return the defaults
     */
    public static RetryPolicy defaults() {
        return new RetryPolicy(3, 25, 1_000);
    }

    /**
     * Returns a policy that sends again at once: for a router of many endpoints, where another one is free.
     *
     * @param maxAttempts attempts of one request in all
     * @return the policy
     */
    public static RetryPolicy immediate(int maxAttempts) {
        return new RetryPolicy(maxAttempts, 0, 0);
    }

    /**
     * Decides whether to try a request again. A retry is taken from the budget.
     *
     * @param facts the request and its last attempt
     * @param budget the instance's budget
     * @param random source of jitter of the calling thread
     * @return a retry after a delay, or the reason to stop
     */
    public RetryDecision decide(RetryContext facts, RetryBudget budget, UniformRandomProvider random) {
        Optional<StopReason> stop = stopReason(facts);
        if (stop.isPresent()) {
            return new Stop(stop.get());
        }
        long delayMillis = delayMillis(facts.attempt(), random);
        if (delayMillis + facts.expectedMillis() >= facts.remainingMillis()) {
            return new Stop(StopReason.DEADLINE);
        }
        return budget.tryTake() ? new Retry(delayMillis) : new Stop(StopReason.BUDGET);
    }

    private Optional<StopReason> stopReason(RetryContext facts) {
        if (facts.execution() == Execution.RAN) {
            return Optional.of(StopReason.ALREADY_RAN);
        }
        if (facts.execution() == Execution.MAY_HAVE_RUN && !facts.idempotent()) {
            return Optional.of(StopReason.NOT_REPEATABLE);
        }
        return facts.attempt() >= maxAttempts ? Optional.of(StopReason.ATTEMPTS_USED) : Optional.empty();
    }

    private long delayMillis(int attempt, UniformRandomProvider random) {
        double bound = Math.min((double) maxDelayMillis, baseDelayMillis * Math.pow(2, attempt - 1));
        return (long) (random.nextDouble() * bound);
    }

    /**
     * Decides when a second attempt may start beside a slow first one. The caller takes it from the budget when the
     * time has come.
     *
     * @param slowMillis time after which the first attempt counts as slow, such as a high percentile
     * @param facts the request and its first attempt
     * @return time from the first attempt's send, in milliseconds, or empty if the request must not be hedged
     */
    public static OptionalLong hedgeAfterMillis(long slowMillis, RetryContext facts) {
        boolean inTime = slowMillis + facts.expectedMillis() < facts.remainingMillis();
        return facts.idempotent() && facts.attempt() == 1 && inTime
                ? OptionalLong.of(slowMillis)
                : OptionalLong.empty();
    }
}
