package baobabcroft.acceptance;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions. */
final class Conditions {
    private static final Duration LONGEST = Duration.ofSeconds(60);
    private static final Duration INTERVAL = Duration.ofMillis(20);

    private Conditions() {}

    /** Returns once the condition holds; fails with what was awaited if it does not within a minute. */
    static void await(String awaited, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + LONGEST.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new AssertionError("did not happen within " + LONGEST + ": " + awaited);
            }
            LockSupport.parkNanos(INTERVAL.toNanos());
        }
    }
}
