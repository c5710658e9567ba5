package baobabcroft.relay;

import baobabcroft.limit.SharedRate;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.DoubleFunction;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The limit that one start of an endpoint states on the requests of all instances together.
 *
 * <p>Answers can overtake one another. A lower limit applies at once; a higher one, or the end of the limit, only if the
 * answer belongs to a request that was sent after the limit was last stated. Not thread-safe.
 */
final class StatedLimit {
    /** Longest time after the end of a limit in which an instance still sends no requests, in milliseconds. */
    private static final long MAX_RELEASE_DELAY_MILLIS = 1_000;

    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final DoubleFunction<SharedRate> newShare;
    private OptionalDouble perSecond = OptionalDouble.empty();
    private Optional<SharedRate> share = Optional.empty();
    private long statedAtMillis;
    private long releasedAtMillis = Long.MIN_VALUE;

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
        if (stated.isEmpty()) {
            if (perSecond.isPresent() && isCurrent) {
                end();
            }
        } else if (isCurrent || stated.getAsDouble() <= perSecond.getAsDouble()) {
            state(stated.getAsDouble(), nowMillis.getAsLong());
        }
    }

    /** Takes in an answer of unknown age. It can lower the limit but neither raise nor end it. */
    void onOtherAnswer(OptionalDouble stated) {
        if (stated.isPresent() && (perSecond.isEmpty() || stated.getAsDouble() < perSecond.getAsDouble())) {
            state(stated.getAsDouble(), nowMillis.getAsLong());
        }
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

    private void end() {
        perSecond = OptionalDouble.empty();
        share = Optional.empty();
        releasedAtMillis = nowMillis.getAsLong() + (long) (random.getAsDouble() * MAX_RELEASE_DELAY_MILLIS);
    }

    /** Returns whether this instance may send a request now. */
    boolean isAvailable() {
        return share.map(SharedRate::isAvailable).orElseGet(() -> nowMillis.getAsLong() >= releasedAtMillis);
    }

    /** Takes a request from this instance's share; returns empty if there is no limit, else whether one was left. */
    Optional<Boolean> tryTake() {
        return share.map(SharedRate::tryTake);
    }

    /** Gives back a request that was taken and not sent. */
    void giveBack() {
        share.ifPresent(SharedRate::giveBack);
    }

    /** Returns the time until this instance may send a request, in milliseconds; empty if that is not known. */
    OptionalLong millisUntilAvailable() {
        return share.isPresent()
                ? share.get().millisUntilAvailable()
                : OptionalLong.of(Math.max(0, releasedAtMillis - nowMillis.getAsLong()));
    }
}
