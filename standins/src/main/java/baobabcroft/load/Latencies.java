package baobabcroft.load;

import org.HdrHistogram.Histogram;

/**
 * Summary of a latency histogram. The difference of two summaries may be negative.
 *
 * @param count number of recorded values
 * @param meanMicros mean, in microseconds
 * @param p50Micros median, in microseconds
 * @param p90Micros 90th percentile, in microseconds
 * @param p99Micros 99th percentile, in microseconds
 * @param p999Micros 99.9th percentile, in microseconds
 * @param maxMicros maximum, in microseconds
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
