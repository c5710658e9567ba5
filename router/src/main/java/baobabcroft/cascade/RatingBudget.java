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
    private final double ratingsPerSecond;
    private final double maxAccumulated;
    private final Ticker ticker;
    private double available;
    private long refilledAtNanos;

    private RatingBudget(double ratingsPerSecond, double maxAccumulated, Ticker ticker) {
        this.ratingsPerSecond = ratingsPerSecond;
        this.maxAccumulated = maxAccumulated;
        this.ticker = ticker;
        this.available = maxAccumulated;
        this.refilledAtNanos = ticker.read();
    }

    /**
     * Returns a full budget.
     *
     * @param ratingsPerSecond ratings that become available each second
     * @param maxAccumulated most ratings that can accumulate; at least one
     * @param ticker the monotonic clock
     * @return the budget
     */
    public static RatingBudget create(double ratingsPerSecond, double maxAccumulated, Ticker ticker) {
        checkArgument(ratingsPerSecond >= 0, "negative ratingsPerSecond: %s", ratingsPerSecond);
        checkArgument(maxAccumulated >= 1, "maxAccumulated less than one: %s", maxAccumulated);
        return new RatingBudget(ratingsPerSecond, maxAccumulated, checkNotNull(ticker));
    }

    /**
     * Takes one rating from the budget.
     *
     * @return whether a rating was available
     */
    public synchronized boolean tryTake() {
        long nowNanos = ticker.read();
        double elapsedSeconds = (double) (nowNanos - refilledAtNanos) / TimeUnit.SECONDS.toNanos(1);
        available = Math.min(maxAccumulated, available + ratingsPerSecond * elapsedSeconds);
        refilledAtNanos = nowNanos;
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
