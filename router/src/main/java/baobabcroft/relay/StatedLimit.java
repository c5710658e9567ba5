package baobabcroft.relay;

import baobabcroft.limit.BoundReport;
import baobabcroft.limit.SharedRate;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.DoubleFunction;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The limit that one start of an endpoint states on the rate of requests of all instances together, and this instance's
 * share of it. Not thread-safe.
 */
final class StatedLimit {
    /**
     * Time without a statement after which other instances hold the parts, in milliseconds: those that hold them now
     * have no requests for the endpoint, or are gone.
     */
    private static final long ROTATION_MILLIS = 10_000;
    /** Longest time after the end of a limit in which an instance still sends no requests, in milliseconds. */
    private static final long MAX_RELEASE_DELAY_MILLIS = 1_000;

    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final DoubleFunction<SharedRate> newShare;
    private final StatedBound bound;
    private Optional<SharedRate> share = Optional.empty();
    private long releasedAtMillis = Long.MIN_VALUE;

    StatedLimit(LongSupplier nowMillis, DoubleSupplier random, DoubleFunction<SharedRate> newShare) {
        this.nowMillis = nowMillis;
        this.random = random;
        this.newShare = newShare;
        this.bound = new StatedBound(nowMillis);
    }

    /** Returns the limit in force, in requests a second. */
    OptionalDouble perSecond() {
        return bound.bound();
    }

    /** Takes in an answer that states a limit, or none, to a request sent at the given time. */
    void onAnswer(OptionalDouble stated, long sentAtMillis) {
        bound.onAnswer(stated, sentAtMillis);
        updateShare();
    }

    /** Takes in an answer of unknown age. */
    void onOtherAnswer(OptionalDouble stated) {
        bound.onOtherAnswer(stated);
        updateShare();
    }

    /** Takes in what the endpoint has told another instance. */
    void onReport(BoundReport report) {
        bound.onReport(report);
        updateShare();
    }

    /** Returns what the endpoint has told this instance. */
    Optional<BoundReport> report(long incarnationHash) {
        return bound.report(incarnationHash);
    }

    private void updateShare() {
        if (perSecond().isEmpty()) {
            if (share.isPresent()) {
                share = Optional.empty();
                releasedAtMillis = nowMillis.getAsLong() + (long) (random.getAsDouble() * MAX_RELEASE_DELAY_MILLIS);
            }
        } else if (share.isPresent()) {
            share.get().setRate(perSecond().getAsDouble());
        } else {
            share = Optional.of(newShare.apply(perSecond().getAsDouble()));
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

    /** Returns the names of the instances that hold a part of the limit; empty if there is none. */
    ImmutableList<String> holders() {
        return rotatedShare().map(SharedRate::holders).orElse(ImmutableList.of());
    }

    /** Returns the time until this instance may send a request, in milliseconds; empty if that is not known. */
    OptionalLong millisUntilAvailable() {
        Optional<SharedRate> current = rotatedShare();
        return current.isPresent()
                ? current.get().millisUntilAvailable()
                : OptionalLong.of(Math.max(0, releasedAtMillis - nowMillis.getAsLong()));
    }

    private Optional<SharedRate> rotatedShare() {
        share.ifPresent(current -> current.setRotation(bound.ageMillis() / ROTATION_MILLIS));
        return share;
    }
}
