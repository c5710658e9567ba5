package baobabcroft.relay;

import baobabcroft.limit.BoundReport;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;

/**
 * A bound that endpoints state in their answers, as told by answers to this instance or by other instances. The lower
 * the bound, the stricter it is.
 *
 * <p>Answers can overtake one another. A lower bound applies at once; a higher one, or the end of the bound, only if
 * the answer belongs to a request that was sent after the bound was last stated. Not thread-safe.
 */
final class StatedBound {
    /** By how much a report may seem newer than it is, in milliseconds: its way, and the time until it is read. */
    private static final long REPORT_DELAY_MILLIS = 300;
    /** Time for which the end of a bound is reported, in milliseconds: several notices. */
    private static final long END_REPORTED_MILLIS = 10_000;

    private final LongSupplier nowMillis;
    private Optional<Told> toldByEndpoint = Optional.empty();
    private OptionalDouble bound = OptionalDouble.empty();
    private long startedAtMillis = Long.MIN_VALUE;
    private long statedAtMillis = Long.MIN_VALUE;
    private long endedAtMillis = Long.MIN_VALUE;

    /** The latest that an endpoint has told this instance itself. */
    private record Told(OptionalDouble bound, long atMillis) {}

    StatedBound(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    /** Returns the bound in force. */
    OptionalDouble bound() {
        return bound;
    }

    /** Returns when the bound came into force, by the monotonic clock in milliseconds. */
    long startedAtMillis() {
        return startedAtMillis;
    }

    /** Returns the time since the bound in force was last stated, in milliseconds. */
    long ageMillis() {
        return Math.max(0, nowMillis.getAsLong() - statedAtMillis);
    }

    /** Takes in an answer that states a bound, or none, to a request sent at the given time. */
    void onAnswer(OptionalDouble stated, long sentAtMillis) {
        boolean isCurrent = bound.isEmpty() || sentAtMillis >= statedAtMillis;
        if (stated.isPresent() && (isCurrent || stated.getAsDouble() <= bound.getAsDouble())) {
            toldByEndpoint = Optional.of(new Told(stated, nowMillis.getAsLong()));
            state(stated, nowMillis.getAsLong());
        } else if (stated.isEmpty() && isCurrent && wasStated()) {
            toldByEndpoint = Optional.of(new Told(stated, sentAtMillis));
            end(sentAtMillis);
        }
    }

    private boolean wasStated() {
        return statedAtMillis != Long.MIN_VALUE;
    }

    /** Takes in an answer of unknown age. It can lower the bound but neither raise nor end it. */
    void onOtherAnswer(OptionalDouble stated) {
        if (stated.isPresent() && (bound.isEmpty() || stated.getAsDouble() < bound.getAsDouble())) {
            state(stated, nowMillis.getAsLong());
        }
    }

    /** Takes in what an endpoint has told another instance. */
    void onReport(BoundReport report) {
        long atMillis = nowMillis.getAsLong() - report.ageMillis();
        if (report.bound().isEmpty()) {
            if (bound.isEmpty() || atMillis > statedAtMillis + REPORT_DELAY_MILLIS) {
                end(atMillis);
            }
        } else if (bound.isEmpty() ? atMillis > endedAtMillis : replaces(report.bound(), atMillis)) {
            state(report.bound(), atMillis);
        }
    }

    /** Returns whether a reported bound replaces the one in force: it is newer, or lower and about as old. */
    private boolean replaces(OptionalDouble reported, long atMillis) {
        boolean isLower = reported.getAsDouble() <= bound.getAsDouble();
        return atMillis > statedAtMillis + (isLower ? -REPORT_DELAY_MILLIS : REPORT_DELAY_MILLIS);
    }

    /** Returns what an endpoint has told this instance; empty if nothing, or what has ended since. */
    Optional<BoundReport> report(long subjectHash) {
        return toldByEndpoint
                .map(told -> new BoundReport(
                        subjectHash, told.bound(), Math.max(0, nowMillis.getAsLong() - told.atMillis())))
                .filter(report ->
                        report.bound().isPresent() ? bound.isPresent() : report.ageMillis() < END_REPORTED_MILLIS);
    }

    private void state(OptionalDouble newBound, long atMillis) {
        if (bound.isEmpty()) {
            startedAtMillis = nowMillis.getAsLong();
        }
        bound = newBound;
        statedAtMillis = Math.max(statedAtMillis, atMillis);
    }

    private void end(long atMillis) {
        endedAtMillis = Math.max(endedAtMillis, atMillis);
        bound = OptionalDouble.empty();
    }
}
