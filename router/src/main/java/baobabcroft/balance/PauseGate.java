package baobabcroft.balance;

import baobabcroft.common.StatedPause;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** Keeps requests away from an endpoint that wants none for some time, and lets them return gradually. */
final class PauseGate {
    private static final double MIN_RETURN_SHARE = 0.1;

    private final BreakerSettings settings;
    private final DoubleSupplier jitter;
    private boolean active;
    private long startNanos;
    private long endNanos;

    PauseGate(BreakerSettings settings, DoubleSupplier jitter) {
        this.settings = settings;
        this.jitter = jitter;
    }

    /** Starts a pause; one that ends earlier than the current one has no effect. */
    void pause(StatedPause pause, long nowNanos) {
        long pauseMillis = pause.atMost(settings.maxPauseMillis()).extendedMillis(jitter.getAsDouble());
        long newEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        if (!active || newEndNanos - endNanos > 0) {
            active = true;
            startNanos = nowNanos;
            endNanos = newEndNanos;
        }
    }

    /** Returns the time until the pause ends, in milliseconds; empty if there is none. */
    OptionalLong remainingMillis(long nowNanos) {
        long remainingNanos = endNanos - nowNanos;
        return active && remainingNanos > 0
                ? OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1)
                : OptionalLong.empty();
    }

    /** Returns how many concurrent requests the endpoint may take now; all again as long after a pause as it lasted. */
    int capacity(int maxConcurrent, long nowNanos) {
        if (!active) {
            return maxConcurrent;
        }
        if (nowNanos - endNanos < 0) {
            return 0;
        }
        double share = (double) (nowNanos - endNanos) / Math.max(1, endNanos - startNanos);
        if (share >= 1) {
            active = false;
            return maxConcurrent;
        }
        return (int) Math.max(1, maxConcurrent * Math.max(MIN_RETURN_SHARE, share));
    }
}
