package baobabcroft.relay;

import baobabcroft.limit.SharedConcurrency;
import com.google.common.collect.ImmutableList;
import java.util.OptionalInt;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Whether one start of an endpoint falls over if it has to reject more than a few requests in a second, and this
 * instance's part of the requests that all instances together may therefore have open there.
 *
 * <p>What is open at the same time is at most what the endpoint processes and the rejections that it tolerates, less
 * one. An instance that was rejected waits for more than a second, longer each time. Not thread-safe.
 */
final class Brittleness {
    /** Shortest time without requests after a rejection, in milliseconds: the endpoint counts those of one second. */
    private static final long MIN_PAUSE_MILLIS = 1_000;

    private static final long MAX_PAUSE_MILLIS = 8_000;
    /** Longest random extension of a pause, as a share of it. */
    private static final double MAX_EXTENSION_SHARE = 0.5;

    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final SharedConcurrency share;
    private OptionalInt stated = OptionalInt.empty();
    private long statedAtMillis = Long.MIN_VALUE;
    private long pauseMillis;
    private long pausedUntilMillis = Long.MIN_VALUE;

    Brittleness(LongSupplier nowMillis, DoubleSupplier random, SharedConcurrency share) {
        this.nowMillis = nowMillis;
        this.random = random;
        this.share = share;
    }

    /** Takes in an answer to a request sent at the given time; one that was overtaken does not end anything. */
    void onAnswer(OptionalInt toleratedRejections, long sentAtMillis) {
        if (toleratedRejections.isPresent() || stated.isEmpty() || sentAtMillis >= statedAtMillis) {
            stated = toleratedRejections;
            statedAtMillis = nowMillis.getAsLong();
        }
    }

    /** Returns the rejections a second that the endpoint has stated to tolerate; empty if it is not brittle. */
    OptionalInt stated() {
        return stated;
    }

    /** Returns whether the endpoint has answered since a time, whether it has stated that it is brittle or not. */
    boolean isStatedSince(long millis) {
        return statedAtMillis >= millis;
    }

    void onRejected() {
        long now = nowMillis.getAsLong();
        if (now >= pausedUntilMillis) {
            pauseMillis = Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, 2 * pauseMillis));
            pausedUntilMillis = now + (long) (pauseMillis * (1 + MAX_EXTENSION_SHARE * random.getAsDouble()));
        }
    }

    void onAccepted() {
        if (nowMillis.getAsLong() >= pausedUntilMillis) {
            pauseMillis = 0;
        }
    }

    /** Returns whether this instance may send a request to a brittle endpoint at which it has some open. */
    boolean isAvailable(int tolerated, int slots, int openRequests) {
        return nowMillis.getAsLong() >= pausedUntilMillis && openRequests < share.part(total(tolerated, slots));
    }

    /** Returns the names of the instances that may send requests to the brittle endpoint. */
    ImmutableList<String> holders(int tolerated, int slots) {
        return share.holders(total(tolerated, slots));
    }

    private static int total(int tolerated, int slots) {
        return Math.max(1, slots + Math.max(-1, tolerated - 1));
    }
}
