package baobabcroft.acceptance;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls conditions. */
final class Conditions {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private Conditions() {}

    /** Waits until the condition holds; fails with the description of it after 60 s. */
    static void await(String awaited, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new AssertionError("timed out after " + TIMEOUT + " waiting for: " + awaited);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
