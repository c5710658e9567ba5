package baobabcroft.relay;

import baobabcroft.limit.LimitReport;
import baobabcroft.limit.SharedRate;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.DoubleFunction;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The limit that one start of an endpoint states on the requests of all instances together, as told by its answers or by
 * other instances.
 *
 * <p>Answers can overtake one another. A lower limit applies at once; a higher one, or the end of the limit, only if the
 * answer belongs to a request that was sent after the limit was last stated. Not thread-safe.
 */
final class StatedLimit {
    /**
     * Time without a statement after which other instances hold the parts, in milliseconds: those that hold them now
     * have no requests for the endpoint, or are gone.
     */
    private static final long ROTATION_MILLIS = 10_000;
    /** Longest time after the end of a limit in which an instance still sends no requests, in milliseconds. */
    private static final long MAX_RELEASE_DELAY_MILLIS = 1_000;
    /** By how much a report may seem newer than it is, in milliseconds: its way, and the time until it is read. */
    private static final long REPORT_DELAY_MILLIS = 300;
    /** Time for which the end of a limit is reported, in milliseconds: several notices. */
    private static final long END_REPORTED_MILLIS = 10_000;

    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final DoubleFunction<SharedRate> newShare;
    private Optional<Told> toldByEndpoint = Optional.empty();
    private OptionalDouble perSecond = OptionalDouble.empty();
    private Optional<SharedRate> share = Optional.empty();
    private long statedAtMillis = Long.MIN_VALUE;
    private long endedAtMillis = Long.MIN_VALUE;
    private long releasedAtMillis = Long.MIN_VALUE;

    /** The latest that the endpoint has told this instance itself. */
    private record Told(OptionalDouble perSecond, long atMillis) {}

    StatedLimit(LongSupplier nowMillis, DoubleSupplier random, DoubleFunction<SharedRate> newShare) {
        this.nowMillis = nowMillis;
        this.random = random;
        this.newShare = newShare;
    }

    /** Returns the limit in force, in requests a second. */
    OptionalDouble perSecond() {
        return perSecond;
    }

    /** Takes in an answer that states a limit, or none, to a request sent at the given time. */
    void onAnswer(OptionalDouble stated, long sentAtMillis) {
        boolean isCurrent = perSecond.isEmpty() || sentAtMillis >= statedAtMillis;
        if (stated.isPresent() && (isCurrent || stated.getAsDouble() <= perSecond.getAsDouble())) {
            toldByEndpoint = Optional.of(new Told(stated, nowMillis.getAsLong()));
            state(stated.getAsDouble(), nowMillis.getAsLong());
        } else if (stated.isEmpty() && isCurrent && wasStated()) {
            toldByEndpoint = Optional.of(new Told(stated, sentAtMillis));
            end(sentAtMillis);
        }
    }

    private boolean wasStated() {
        return statedAtMillis != Long.MIN_VALUE;
    }

    /** Takes in an answer of unknown age. It can lower the limit but neither raise nor end it. */
    void onOtherAnswer(OptionalDouble stated) {
        if (stated.isPresent() && (perSecond.isEmpty() || stated.getAsDouble() < perSecond.getAsDouble())) {
            state(stated.getAsDouble(), nowMillis.getAsLong());
        }
    }

    /** Takes in what the endpoint has told another instance. */
    void onReport(LimitReport report) {
        long atMillis = nowMillis.getAsLong() - report.ageMillis();
        OptionalDouble reported = report.perSecond();
        if (reported.isEmpty()) {
            if (perSecond.isEmpty() || atMillis > statedAtMillis + REPORT_DELAY_MILLIS) {
                end(atMillis);
            }
        } else if (perSecond.isEmpty() ? atMillis > endedAtMillis : replaces(reported.getAsDouble(), atMillis)) {
            state(reported.getAsDouble(), atMillis);
        }
    }

    /** Returns whether a reported limit replaces the one in force: it is newer, or lower and about as old. */
    private boolean replaces(double reported, long atMillis) {
        boolean isLower = reported <= perSecond.getAsDouble();
        return atMillis > statedAtMillis + (isLower ? -REPORT_DELAY_MILLIS : REPORT_DELAY_MILLIS);
    }

    /** Returns what the endpoint has told this instance; empty if nothing, or what has ended since. */
    Optional<LimitReport> report(long incarnationHash) {
        return toldByEndpoint
                .map(told -> new LimitReport(
                        incarnationHash, told.perSecond(), Math.max(0, nowMillis.getAsLong() - told.atMillis())))
                .filter(report -> report.perSecond().isPresent()
                        ? perSecond.isPresent()
                        : report.ageMillis() < END_REPORTED_MILLIS);
    }

    private void state(double newPerSecond, long atMillis) {
        perSecond = OptionalDouble.of(newPerSecond);
        statedAtMillis = Math.max(statedAtMillis, atMillis);
        if (share.isPresent()) {
            share.get().setRate(newPerSecond);
        } else {
            share = Optional.of(newShare.apply(newPerSecond));
        }
    }

    private void end(long atMillis) {
        endedAtMillis = Math.max(endedAtMillis, atMillis);
        if (perSecond.isPresent()) {
            perSecond = OptionalDouble.empty();
            share = Optional.empty();
            releasedAtMillis = nowMillis.getAsLong() + (long) (random.getAsDouble() * MAX_RELEASE_DELAY_MILLIS);
        }
    }

    /** Returns whether this instance may send a request now. */
    boolean isAvailable() {
        return rotatedShare().map(SharedRate::isAvailable).orElseGet(() -> nowMillis.getAsLong() >= releasedAtMillis);
    }

    /** Takes a request from this instance's share; returns empty if there is no limit, else whether one was left. */
    Optional<Boolean> tryTake() {
        return rotatedShare().map(SharedRate::tryTake);
    }

    /** Gives back a request that was taken and not sent. */
    void giveBack() {
        share.ifPresent(SharedRate::giveBack);
    }

    /** Returns the time until this instance may send a request, in milliseconds; empty if that is not known. */
    OptionalLong millisUntilAvailable() {
        Optional<SharedRate> current = rotatedShare();
        return current.isPresent()
                ? current.get().millisUntilAvailable()
                : OptionalLong.of(Math.max(0, releasedAtMillis - nowMillis.getAsLong()));
    }

    private Optional<SharedRate> rotatedShare() {
        share.ifPresent(
                current -> current.setRotation(Math.max(0, nowMillis.getAsLong() - statedAtMillis) / ROTATION_MILLIS));
        return share;
    }
}
