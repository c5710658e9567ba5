package baobabcroft.slot;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether the store is out, from the calls of all slots: after failures in a row, until a call succeeds.
 *
 * <p>Now and then it lets a caller through, whose call shows whether the store is back. Thread-safe.
 */
final class OutageDetector {
    private static final int FAILURES_OF_OUTAGE = 2;

    private final Ticker ticker;
    private final long probeIntervalNanos;
    private int failures;
    private long probeAtNanos;

    OutageDetector(Ticker ticker, long probeIntervalMillis) {
        this.ticker = ticker;
        this.probeIntervalNanos = TimeUnit.MILLISECONDS.toNanos(probeIntervalMillis);
    }

    synchronized void succeeded() {
        failures = 0;
    }

    synchronized void failed() {
        failures++;
        if (failures == FAILURES_OF_OUTAGE) {
            probeAtNanos = ticker.read() + probeIntervalNanos;
        }
    }

    /** Returns whether the last calls failed. */
    synchronized boolean isOut() {
        return failures >= FAILURES_OF_OUTAGE;
    }

    /** Returns whether to refuse a caller at once; false lets it through as a probe. */
    synchronized boolean refuses() {
        if (!isOut()) {
            return false;
        }
        long nowNanos = ticker.read();
        if (nowNanos - probeAtNanos < 0) {
            return true;
        }
        probeAtNanos = nowNanos + probeIntervalNanos;
        return false;
    }
}
