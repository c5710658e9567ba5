package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits the rate at which this instance requests ratings.
 *
 * <p>Thread-safe.
 */
public final class RatingBudget {
    private final double perSecond;
    private final double maxTokens;
    private final Ticker ticker;
    private double tokens;
    private long filledAtNanos;

    private RatingBudget(double perSecond, double maxTokens, Ticker ticker) {
        this.perSecond = perSecond;
        this.maxTokens = maxTokens;
        this.ticker = ticker;
        this.tokens = maxTokens;
        this.filledAtNanos = ticker.read();
    }

    /**
     * Returns a full budget.
     *
     * @param perSecond ratings that become available each second
     * @param maxTokens most ratings that can accumulate; at least one
     * @param ticker the monotonic clock
     * @return the budget
     */
    public static RatingBudget create(double perSecond, double maxTokens, Ticker ticker) {
        checkArgument(perSecond >= 0, "negative perSecond: %s", perSecond);
        checkArgument(maxTokens >= 1, "maxTokens under one: %s", maxTokens);
        return new RatingBudget(perSecond, maxTokens, checkNotNull(ticker));
    }

    /**
     * Takes one rating from the budget.
     *
     * @return whether a rating was available
     */
    public synchronized boolean tryTake() {
        long nowNanos = ticker.read();
        double elapsedSeconds = (double) (nowNanos - filledAtNanos) / TimeUnit.SECONDS.toNanos(1);
        tokens = Math.min(maxTokens, tokens + perSecond * elapsedSeconds);
        filledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
