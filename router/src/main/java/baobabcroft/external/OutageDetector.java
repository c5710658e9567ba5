package baobabcroft.external;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;

/**
 * Circuit breaker for the key-value store, which opens after consecutive failures and closes when a call succeeds. One
 * detector is shared by all slots.
 *
 * <p>While open, it admits one call per probe interval, to find out whether the store has recovered. Thread-safe.
 */
public final class OutageDetector {
    private static final int FAILURE_THRESHOLD = 2;

    private final Ticker ticker;
    private final long probeIntervalNanos;
    private int consecutiveFailures;
    private long nextProbeNanos;

    /**
     * Creates a detector that has recorded no call.
     *
     * @param ticker monotonic clock
     * @param probeIntervalMillis interval between the calls admitted during an outage, in milliseconds
     */
    public OutageDetector(Ticker ticker, long probeIntervalMillis) {
        this.ticker = ticker;
        this.probeIntervalNanos = TimeUnit.MILLISECONDS.toNanos(probeIntervalMillis);
    }

    /** Records a successful call, which ends an outage. */
    public synchronized void recordSuccess() {
        consecutiveFailures = 0;
    }

    /** Records a failed call. */
    public synchronized void recordFailure() {
        consecutiveFailures++;
        if (consecutiveFailures == FAILURE_THRESHOLD) {
            nextProbeNanos = ticker.read() + probeIntervalNanos;
        }
    }

    /**
     * Returns whether an outage is in progress, that is, whether the last calls failed.
     *
     * @return true during an outage
     */
    public synchronized boolean isOutage() {
        return consecutiveFailures >= FAILURE_THRESHOLD;
    }

    /**
     * Returns whether to reject a call without sending it. Counts the call as the probe if it is admitted during an
     * outage.
     *
     * @return false if no outage is in progress, or if this call is the probe
     */
    public synchronized boolean shouldReject() {
        if (!isOutage()) {
            return false;
        }
        long nowNanos = ticker.read();
        if (nowNanos - nextProbeNanos < 0) {
            return true;
        }
        nextProbeNanos = nowNanos + probeIntervalNanos;
        return false;
    }
}
