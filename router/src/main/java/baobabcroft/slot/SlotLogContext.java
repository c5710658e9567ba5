package baobabcroft.slot;

import baobabcroft.common.Scheduler;
import baobabcroft.external.KeyValueStore;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import java.time.InstantSource;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Collaborators of a {@link SlotLog}.
 *
 * @param store key-value store of the platform
 * @param scheduler schedules commits, retries and timeouts
 * @param executor runs the work of the log; may be a direct executor
 * @param ticker monotonic clock, for intervals
 * @param clock wall clock, for timestamps in records
 * @param random source of uniformly distributed 64-bit numbers, for jitter and segment identifiers
 * @param metrics registry for the counters {@code slot.*}
 */
public record SlotLogContext(
        KeyValueStore store,
        Scheduler scheduler,
        Executor executor,
        Ticker ticker,
        InstantSource clock,
        LongSupplier random,
        MetricRegistry metrics) {
    private static final double DOUBLE_UNIT = 0x1.0p-53;

    /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
    double randomFraction() {
        return (random.getAsLong() >>> 11) * DOUBLE_UNIT;
    }

    /** Increments the counter {@code slot.<event>}. */
    void count(String event) {
        metrics.counter("slot." + event).inc();
    }
}
