package baobabcroft.external;

import java.util.function.DoubleSupplier;

/** Exponential delays with jitter after calls that failed in a row. Not thread-safe. */
public final class Backoff {
    private final long minMillis;
    private final long maxMillis;
    private final DoubleSupplier random;
    private int failures;

    /**
     * Creates a backoff without failures.
     *
     * @param minMillis first delay, in milliseconds
     * @param maxMillis longest delay, in milliseconds
     * @param random numbers from zero to one
     */
    public Backoff(long minMillis, long maxMillis, DoubleSupplier random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Starts again from the first delay. */
    public void reset() {
        failures = 0;
    }

    /**
     * Counts a failure.
     *
     * @return how long to wait, in milliseconds: half of the exponential delay, and up to as much again
     */
    public long nextDelayMillis() {
        long ceilingMillis = maxMillis;
        if (failures < Long.SIZE - Long.numberOfLeadingZeros(maxMillis / minMillis)) {
            ceilingMillis = Math.min(maxMillis, minMillis << failures);
        }
        failures++;
        return Math.max(1, (long) (ceilingMillis * (1 + random.getAsDouble()) / 2));
    }
}
