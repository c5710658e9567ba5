package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.LongSupplier;

/**
 * What endpoints have told the other instances of this failure domain of bounds on their requests. Reports of other
 * failure domains are not kept here: passed on in a circle, they would never grow old. Not thread-safe.
 */
public final class DomainBoundReports {
    /** Age above which the reports of an instance are ignored; tolerates several lost notices in a row. */
    private static final long MAX_AGE_MILLIS = 3_000;

    private final LongSupplier nowMillis;
    private final Map<String, Received> byInstance = new HashMap<>();

    private record Received(ImmutableList<BoundReport> reports, long atMillis) {}

    private DomainBoundReports(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    /**
     * Returns an object without reports.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @return the new object
     */
    public static DomainBoundReports create(LongSupplier nowMillis) {
        return new DomainBoundReports(checkNotNull(nowMillis));
    }

    /**
     * Replaces the reports of another instance of this failure domain.
     *
     * @param instance name of the instance
     * @param reports what endpoints have told it
     */
    public void setPeer(String instance, ImmutableList<BoundReport> reports) {
        byInstance.put(instance, new Received(reports, nowMillis.getAsLong()));
    }

    /**
     * Returns what the instances of this failure domain were told.
     *
     * @param own what endpoints have told this instance
     * @return the latest report on each subject
     */
    public ImmutableList<BoundReport> latest(ImmutableList<BoundReport> own) {
        Map<Long, BoundReport> latest = new HashMap<>();
        BinaryOperator<BoundReport> newer = BinaryOperator.minBy(Comparator.comparingLong(BoundReport::ageMillis));
        own.forEach(report -> latest.merge(report.subjectHash(), report, newer));
        for (Received received : byInstance.values()) {
            long sinceMillis = nowMillis.getAsLong() - received.atMillis();
            if (sinceMillis <= MAX_AGE_MILLIS) {
                received.reports()
                        .forEach(report -> latest.merge(report.subjectHash(), report.olderBy(sinceMillis), newer));
            }
        }
        return ImmutableList.copyOf(latest.values());
    }
}
