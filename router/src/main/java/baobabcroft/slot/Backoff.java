package baobabcroft.slot;

import java.util.function.DoubleSupplier;

/** Exponential delays with jitter after calls that failed in a row. Not thread-safe. */
final class Backoff {
    private final long minMillis;
    private final long maxMillis;
    private final DoubleSupplier random;
    private int failures;

    Backoff(long minMillis, long maxMillis, DoubleSupplier random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    void succeeded() {
        failures = 0;
    }

    /** Counts a failure and returns how long to wait: half of the exponential delay, and up to as much again. */
    long failed() {
        long ceilingMillis = maxMillis;
        if (failures < Long.SIZE - Long.numberOfLeadingZeros(maxMillis / minMillis)) {
            ceilingMillis = Math.min(maxMillis, minMillis << failures);
        }
        failures++;
        return Math.max(1, (long) (ceilingMillis * (1 + random.getAsDouble()) / 2));
    }
}
