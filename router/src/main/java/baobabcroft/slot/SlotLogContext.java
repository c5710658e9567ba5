package baobabcroft.slot;

import baobabcroft.common.Scheduler;
import baobabcroft.external.KeyValueStore;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import java.time.InstantSource;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * What a {@link SlotLog} works with.
 *
 * @param store the platform's store
 * @param scheduler runs delayed retries
 * @param executor runs the log's own work; may be direct
 * @param ticker monotonic clock
 * @param clock wall clock, for the times in records
 * @param random uniformly distributed 64-bit numbers
 * @param metrics receives the counters {@code slot.*}
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

    /** Returns a uniformly distributed number from zero to one. */
    double randomFraction() {
        return (random.getAsLong() >>> 11) * DOUBLE_UNIT;
    }

    /** Counts an event. */
    void count(String event) {
        metrics.counter("slot." + event).inc();
    }
}
