package baobabcroft.billing;

import baobabcroft.common.Scheduler;
import baobabcroft.external.KeyValueStore;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;

/**
 * Dependencies of the billing classes.
 *
 * @param store store that contains the journals
 * @param scheduler runs delayed retries and timeouts
 * @param executor runs the journal's tasks; may be a direct executor
 * @param ticker monotonic clock
 * @param random source of numbers from zero to one, for jitter
 * @param metrics registry of the counters {@code billing.*}
 */
public record BillingContext(
        KeyValueStore store,
        Scheduler scheduler,
        Executor executor,
        Ticker ticker,
        DoubleSupplier random,
        MetricRegistry metrics) {
    /** Increments the counter {@code billing.<event>}. */
    void count(String event) {
        metrics.counter("billing." + event).inc();
    }
}
