package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * This instance's part of a rate that holds for all instances together.
 *
 * <p>The instances agree on their parts without talking to one another: all rank the known instances by the same hash,
 * and those with the lowest ranks hold equal parts. There are only as many of them that each may send at least one
 * request at a time while all of them at once send little more than the rate of one second. Not thread-safe.
 */
public final class SharedRate {
    /** Requests that all instances may send at once, beyond those of one second. */
    private static final double BURST_REQUESTS = 2;
    /** Rate for lower ones, in requests a second: without any request, the end of a limit would not be noticed. */
    private static final double MIN_RATE_PER_SECOND = 0.25;

    private final InstanceRanking ranking;
    private final LongSupplier nowMillis;
    private final TokenBucket bucket;
    private double ratePerSecond;

    /**
     * The part of one instance.
     *
     * @param ratePerSecond requests a second
     * @param maxRequests requests at a time
     */
    private record Part(double ratePerSecond, double maxRequests) {
        static final Part NONE = new Part(0, 0);
    }

    private SharedRate(InstanceRanking ranking, double ratePerSecond, LongSupplier nowMillis, DoubleSupplier random) {
        this.ranking = ranking;
        this.nowMillis = nowMillis;
        this.ratePerSecond = ratePerSecond;
        Part part = part();
        this.bucket = new TokenBucket(
                part.ratePerSecond(),
                part.maxRequests(),
                random.getAsDouble() * Math.min(1, part.maxRequests()),
                nowMillis.getAsLong());
    }

    /**
     * Returns this instance's part of a rate, of which it has saved up a random fraction of one request.
     *
     * @param subject names what the rate applies to; the same number at all instances
     * @param fleet the instances that share the rate
     * @param ratePerSecond requests a second of all instances together
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of numbers in [0, 1)
     * @return the part
     */
    public static SharedRate create(
            long subject, FleetView fleet, double ratePerSecond, LongSupplier nowMillis, DoubleSupplier random) {
        checkArgument(ratePerSecond >= 0, "negative ratePerSecond: %s", ratePerSecond);
        return new SharedRate(new InstanceRanking(subject, fleet), ratePerSecond, checkNotNull(nowMillis), random);
    }

    /**
     * Changes the rate.
     *
     * @param newRatePerSecond requests a second of all instances together
     */
    public void setRate(double newRatePerSecond) {
        checkArgument(newRatePerSecond >= 0, "negative rate: %s", newRatePerSecond);
        refill();
        ratePerSecond = newRatePerSecond;
        refill();
    }

    /**
     * Changes the ranks of the instances, so that others than before hold parts.
     *
     * @param newRotation number of the ranking; the same at all instances
     */
    public void setRotation(long newRotation) {
        ranking.setRotation(newRotation);
    }

    /**
     * Returns whether this instance may send a request now.
     *
     * @return false if it holds no part, or has none left
     */
    public boolean isAvailable() {
        refill();
        return bucket.hasAtLeast(1);
    }

    /**
     * Takes a request from this instance's part.
     *
     * @return false if none is left
     */
    public boolean tryTake() {
        boolean available = isAvailable();
        if (available) {
            bucket.take(1);
        }
        return available;
    }

    /** Gives back a request that was taken and not sent. */
    public void giveBack() {
        bucket.take(-1);
        refill();
    }

    /**
     * Returns the time until this instance may send a request.
     *
     * @return the time in milliseconds; empty if it holds no part
     */
    public OptionalLong millisUntilAvailable() {
        refill();
        long millis = bucket.millisUntil(1);
        return millis == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(millis);
    }

    private void refill() {
        Part part = part();
        bucket.refill(part.ratePerSecond(), part.maxRequests(), nowMillis.getAsLong());
    }

    private Part part() {
        int holders = holderCount();
        double rate = effectiveRate();
        return ranking.rank() < holders ? new Part(rate / holders, (rate + BURST_REQUESTS) / holders) : Part.NONE;
    }

    /**
     * Returns the names of the instances that hold a part.
     *
     * @return the names, first ranked first
     */
    public ImmutableList<String> holders() {
        return ranking.ranked().subList(0, holderCount());
    }

    private int holderCount() {
        return (int) Math.min(ranking.ranked().size(), Math.floor(effectiveRate()) + BURST_REQUESTS);
    }

    private double effectiveRate() {
        return Math.max(MIN_RATE_PER_SECOND, ratePerSecond);
    }
}
