package baobabcroft.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.DoubleSupplier;

/**
 * Token bucket that limits retries and hedged requests to a share of first attempts.
 *
 * <p>Unless created with tokens, it starts empty, so that the number of retries never exceeds that share of all
 * requests. Thread-safe.
 */
public final class RetryBudget {
    private static final double DEFAULT_TOKENS_PER_REQUEST = 0.1;
    private static final double DEFAULT_MAX_TOKENS = 100;

    private final DoubleSupplier tokensPerRequest;
    private final DoubleSupplier maxTokens;
    private double tokens;

    private RetryBudget(DoubleSupplier tokensPerRequest, DoubleSupplier maxTokens, double tokens) {
        this.tokensPerRequest = tokensPerRequest;
        this.maxTokens = maxTokens;
        this.tokens = tokens;
    }

    /**
     * Returns a budget that allows retries for a tenth of the requests.
     *
     * @return a new, empty budget
     */
    public static RetryBudget create() {
        return of(DEFAULT_TOKENS_PER_REQUEST, DEFAULT_MAX_TOKENS);
    }

    /**
     * Returns an initially empty budget.
     *
     * @param tokensPerRequest tokens added for each first attempt; a retry takes one token
     * @param maxTokens capacity of the bucket, at least 1
     * @return a new, empty budget
     */
    public static RetryBudget of(double tokensPerRequest, double maxTokens) {
        return of(tokensPerRequest, maxTokens, 0);
    }

    /**
     * Returns a budget with initial tokens.
     *
     * @param tokensPerRequest tokens added for each first attempt; a retry takes one token
     * @param maxTokens capacity of the bucket, at least 1
     * @param tokens initial tokens, from 0 to {@code maxTokens}
     * @return a new budget
     */
    public static RetryBudget of(double tokensPerRequest, double maxTokens, double tokens) {
        checkArgument(tokensPerRequest >= 0, "tokensPerRequest must not be negative: %s", tokensPerRequest);
        checkArgument(maxTokens >= 1, "maxTokens must be at least 1: %s", maxTokens);
        checkArgument(tokens >= 0 && tokens <= maxTokens, "tokens must be between 0 and maxTokens: %s", tokens);
        return new RetryBudget(() -> tokensPerRequest, () -> maxTokens, tokens);
    }

    /**
     * Returns a budget that never ends, for sends that reach no endpoint.
     *
     * @return the budget
     */
    public static RetryBudget unlimited() {
        return new RetryBudget(() -> 0, () -> Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }

    /**
     * Returns a budget whose limits may change at run time, with one initial token.
     *
     * @param tokensPerRequest supplies the current number of tokens added for each first attempt
     * @param maxTokens supplies the current capacity of the bucket; less than 1 counts as 1
     * @return a new budget
     */
    public static RetryBudget withDynamicLimits(DoubleSupplier tokensPerRequest, DoubleSupplier maxTokens) {
        return new RetryBudget(checkNotNull(tokensPerRequest), checkNotNull(maxTokens), 1);
    }

    /** Adds the tokens for a first attempt. */
    public synchronized void requestStarted() {
        tokens = Math.min(Math.max(1, maxTokens.getAsDouble()), tokens + tokensPerRequest.getAsDouble());
    }

    /**
     * Takes one token, which allows one retry or hedged request.
     *
     * @return false if the budget is exhausted
     */
    public synchronized boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
