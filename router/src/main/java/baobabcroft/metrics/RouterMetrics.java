package baobabcroft.metrics;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The metrics of one instance. Thread-safe. */
public final class RouterMetrics {
    private final MetricRegistry registry;
    private final CollectorRegistry exposition;
    private final Histogram firstByteMicros;
    private final Histogram totalMicros;

    private RouterMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.exposition = new CollectorRegistry();
        this.exposition.register(new DropwizardExports(registry));
        this.firstByteMicros = registry.histogram("request.first_byte_micros");
        this.totalMicros = registry.histogram("request.total_micros");
        for (ErrorCode code : ErrorCode.values()) {
            registry.counter(refusalName(code, Execution.NOT_RUN));
        }
    }

    /**
     * Returns the metrics of a new instance, all zero.
     *
     * @return the metrics
     */
    public static RouterMetrics create() {
        return new RouterMetrics(new MetricRegistry());
    }

    /**
     * Returns the registry, for parts that register metrics of their own.
     *
     * @return the registry that {@link #expose} shows
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Counts an answer that was refused or failed.
     *
     * @param code the reason
     * @param execution the verdict that the caller was given
     */
    public void countRefusal(ErrorCode code, Execution execution) {
        registry.counter(refusalName(code, execution)).inc();
    }

    /**
     * Counts a retry.
     *
     * @param reason why the request was sent again, as lower-case words joined by underscores
     */
    public void countRetry(String reason) {
        registry.counter("retry." + checkNotNull(reason)).inc();
    }

    /**
     * Counts an event of the given name.
     *
     * @param name dotted lower-case name
     */
    public void count(String name) {
        registry.counter(checkNotNull(name)).inc();
    }

    /**
     * Returns a counter that callers may keep.
     *
     * @param name dotted lower-case name
     * @return the counter
     */
    public Counter counter(String name) {
        return registry.counter(checkNotNull(name));
    }

    /**
     * Shows a value that is read when the metrics are scraped.
     *
     * @param name dotted lower-case name
     * @param value reads the value
     */
    public void gauge(String name, LongSupplier value) {
        checkNotNull(value);
        registry.gauge(name, () -> (Gauge<Long>) value::getAsLong);
    }

    /**
     * Records the time from a request's arrival to the first byte of its answer.
     *
     * @param elapsedNanos the time in nanoseconds
     */
    public void recordFirstByte(long elapsedNanos) {
        firstByteMicros.update(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
    }

    /**
     * Records the time from a request's arrival to the end of its answer.
     *
     * @param elapsedNanos the time in nanoseconds
     */
    public void recordTotal(long elapsedNanos) {
        totalMicros.update(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
    }

    /**
     * Returns all metrics in the Prometheus text format, version 0.0.4.
     *
     * @return the text
     */
    public String expose() {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, exposition.metricFamilySamples());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toString();
    }

    private static String refusalName(ErrorCode code, Execution execution) {
        return "refusal." + code.code() + "." + execution.wireName();
    }
}
