package baobabcroft.external;

import java.util.function.DoubleSupplier;

/** Exponential backoff with jitter, driven by the number of consecutive failures. Not thread-safe. */
public final class Backoff {
    private final long minMillis;
    private final long maxMillis;
    private final DoubleSupplier random;
    private int consecutiveFailures;

    /**
     * Creates a backoff that has recorded no failure.
     *
     * @param minMillis upper bound of the first delay, in milliseconds; greater than zero
     * @param maxMillis upper bound of every delay, in milliseconds
     * @param random uniform numbers from 0 to 1, for the jitter
     */
    public Backoff(long minMillis, long maxMillis, DoubleSupplier random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Records a success: the next failure starts again from the first delay. */
    public void reset() {
        consecutiveFailures = 0;
    }

    /**
     * Records a failure.
     *
     * @return the delay before the next attempt, in milliseconds: half of the exponential delay plus a random part of
     *     the other half
     */
    public long nextDelayMillis() {
        long ceilingMillis = maxMillis;
        if (consecutiveFailures < Long.SIZE - Long.numberOfLeadingZeros(maxMillis / minMillis)) {
            ceilingMillis = Math.min(maxMillis, minMillis << consecutiveFailures);
        }
        consecutiveFailures++;
        return Math.max(1, (long) (ceilingMillis * (1 + random.getAsDouble()) / 2));
    }
}
