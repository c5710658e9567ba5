package baobabcroft.load;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.util.concurrent.AtomicLongMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/** Records the request counts and latencies of one target. Thread-safe. */
final class TargetRecorder {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int STATUS_OK = 200;

    private final Histogram firstByte = new SynchronizedHistogram(SIGNIFICANT_DIGITS);
    private final Histogram end = new SynchronizedHistogram(SIGNIFICANT_DIGITS);
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong complete = new AtomicLong();
    private final AtomicLong incomplete = new AtomicLong();
    private final AtomicLongMap<Integer> refused = AtomicLongMap.create();
    private final AtomicLongMap<String> failed = AtomicLongMap.create();

    void recordSent() {
        sent.incrementAndGet();
    }

    void recordResponse(int status, boolean isComplete, long firstByteNanos, long endNanos) {
        if (status != STATUS_OK) {
            refused.incrementAndGet(status);
            return;
        }
        if (!isComplete) {
            incomplete.incrementAndGet();
            return;
        }
        complete.incrementAndGet();
        firstByte.recordValue(TimeUnit.NANOSECONDS.toMicros(firstByteNanos));
        end.recordValue(TimeUnit.NANOSECONDS.toMicros(endNanos));
    }

    void recordFailure(String kind) {
        failed.incrementAndGet(kind);
    }

    TargetReport report(String target, long durationMillis) {
        double seconds = (double) durationMillis / TimeUnit.SECONDS.toMillis(1);
        return new TargetReport(
                target,
                sent.get(),
                complete.get(),
                incomplete.get(),
                ImmutableSortedMap.copyOf(refused.asMap()),
                ImmutableSortedMap.copyOf(failed.asMap()),
                complete.get() / seconds,
                Latencies.of(firstByte),
                Latencies.of(end));
    }
}
