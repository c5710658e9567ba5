package baobabcroft.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.DoubleSupplier;

/**
 * Token bucket that bounds retries and hedges to a share of first attempts.
 *
 * <p>Starts empty, so that the sum of all retries never exceeds the share of all requests. Thread-safe.
 */
public final class RetryBudget {
    private static final double DEFAULT_SHARE = 0.1;
    private static final double DEFAULT_MAX_TOKENS = 100;

    private final DoubleSupplier share;
    private final DoubleSupplier maxTokens;
    private double tokens;

    private RetryBudget(DoubleSupplier share, DoubleSupplier maxTokens, double tokens) {
        this.share = share;
        this.maxTokens = maxTokens;
        this.tokens = tokens;
    }

    /**
     * Returns a budget of a tenth of the requests.
     *
     * @return a new, empty budget
     */
    public static RetryBudget create() {
        return of(DEFAULT_SHARE, DEFAULT_MAX_TOKENS);
    }

    /**
     * Returns a budget of the given share.
     *
     * @param share retries allowed a request
     * @param maxTokens retries that may be saved up
     * @return a new, empty budget
     */
    public static RetryBudget of(double share, double maxTokens) {
        return of(share, maxTokens, 0);
    }

    /**
     * Returns a budget of the given share with some retries at the start.
     *
     * @param share retries allowed a request
     * @param maxTokens retries that may be saved up
     * @param tokens retries saved up at the start
     * @return a new budget
     */
    public static RetryBudget of(double share, double maxTokens, double tokens) {
        checkArgument(share >= 0, "negative share: %s", share);
        checkArgument(maxTokens >= 1, "maxTokens under one: %s", maxTokens);
        checkArgument(tokens >= 0 && tokens <= maxTokens, "tokens out of range: %s", tokens);
        return new RetryBudget(() -> share, () -> maxTokens, tokens);
    }

    /**
     * Returns a budget whose bounds may change, with one retry at the start.
     *
     * @param share retries allowed a request, at present
     * @param maxTokens retries that may be saved up, at present; less than one counts as one
     * @return a new budget
     */
    public static RetryBudget withDynamicLimits(DoubleSupplier share, DoubleSupplier maxTokens) {
        return new RetryBudget(checkNotNull(share), checkNotNull(maxTokens), 1);
    }

    /** Counts a first attempt. */
    public synchronized void requestStarted() {
        tokens = Math.min(Math.max(1, maxTokens.getAsDouble()), tokens + share.getAsDouble());
    }

    /**
     * Takes one retry from the budget.
     *
     * @return whether there was one left
     */
    public synchronized boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
