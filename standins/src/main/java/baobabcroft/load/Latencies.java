package baobabcroft.load;

import org.HdrHistogram.Histogram;

/**
 * Summary of a histogram, in microseconds.
 *
 * @param count how many values it has
 * @param meanMicros their mean
 * @param p50Micros half are at most this
 * @param p90Micros 90 % are at most this
 * @param p99Micros 99 % are at most this
 * @param p999Micros 99.9 % are at most this
 * @param maxMicros the greatest
 */
public record Latencies(
        long count,
        double meanMicros,
        long p50Micros,
        long p90Micros,
        long p99Micros,
        long p999Micros,
        long maxMicros) {
    static Latencies of(Histogram histogram) {
        return new Latencies(
                histogram.getTotalCount(),
                histogram.getMean(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(90),
                histogram.getValueAtPercentile(99),
                histogram.getValueAtPercentile(99.9),
                histogram.getMaxValue());
    }

    Latencies minus(Latencies other) {
        return new Latencies(
                count - other.count,
                meanMicros - other.meanMicros,
                p50Micros - other.p50Micros,
                p90Micros - other.p90Micros,
                p99Micros - other.p99Micros,
                p999Micros - other.p999Micros,
                maxMicros - other.maxMicros);
    }
}
