package baobabcroft.external;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether the store is out, from the calls of all slots: after failures in a row, until a call succeeds.
 *
 * <p>Now and then it lets a caller through, whose call shows whether the store is back. Thread-safe.
 */
public final class OutageDetector {
    private static final int FAILURES_OF_OUTAGE = 2;

    private final Ticker ticker;
    private final long probeIntervalNanos;
    private int failures;
    private long probeAtNanos;

    /**
     * Creates a detector that has seen no call.
     *
     * @param ticker monotonic clock
     * @param probeIntervalMillis how often a caller is let through during an outage, in milliseconds
     */
    public OutageDetector(Ticker ticker, long probeIntervalMillis) {
        this.ticker = ticker;
        this.probeIntervalNanos = TimeUnit.MILLISECONDS.toNanos(probeIntervalMillis);
    }

    /** Notes that the store answered. */
    public synchronized void recordSuccess() {
        failures = 0;
    }

    /** Notes that a call failed. */
    public synchronized void recordFailure() {
        failures++;
        if (failures == FAILURES_OF_OUTAGE) {
            probeAtNanos = ticker.read() + probeIntervalNanos;
        }
    }

    /**
     * Returns whether the last calls failed.
     *
     * @return true during an outage
     */
    public synchronized boolean isOutage() {
        return failures >= FAILURES_OF_OUTAGE;
    }

    /**
     * Returns whether to refuse a caller at once.
     *
     * @return false if the store is thought to answer, or if this caller is to find out
     */
    public synchronized boolean shouldReject() {
        if (!isOutage()) {
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
