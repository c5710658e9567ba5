package baobabcroft.billing;

import baobabcroft.common.Scheduler;
import baobabcroft.external.KeyValueStore;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;

/**
 * What billing works with.
 *
 * @param store the platform's store
 * @param scheduler runs delayed retries and time limits
 * @param executor runs the journal's own work; may be direct
 * @param ticker monotonic clock
 * @param random numbers from zero to one, for jitter
 * @param metrics receives the counters {@code billing.*}
 */
public record BillingContext(
        KeyValueStore store,
        Scheduler scheduler,
        Executor executor,
        Ticker ticker,
        DoubleSupplier random,
        MetricRegistry metrics) {
    /** Counts an event. */
    void count(String event) {
        metrics.counter("billing." + event).inc();
    }
}
