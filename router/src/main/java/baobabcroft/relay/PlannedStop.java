package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.routing.Route;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The planned stop of an instance, as far as it concerns requests. Once it has begun, requests that are not expected to
 * end in time are not taken, and those that are still open at its end are ended with an answer. Not thread-safe.
 *
 * <p>A request is expected to take as long as recent answers on its route: their mean plus twice their mean deviation,
 * with the weights of RFC 6298. On a route without answers it is the route's latency goal. A request whose own deadline
 * lies before the end is always taken.
 */
public final class PlannedStop {
    /** Routes whose answer times are kept. */
    private static final int MAX_ROUTES = 1_000;

    private final LongSupplier nowMillis;
    private final Scheduler scheduler;
    private final Cache<String, AnswerTime> answerTimes =
            CacheBuilder.newBuilder().maximumSize(MAX_ROUTES).build();
    private final Map<Object, Runnable> endActions = new LinkedHashMap<>();
    private boolean begun;
    private long endAtMillis = Long.MAX_VALUE;

    private PlannedStop(LongSupplier nowMillis, Scheduler scheduler) {
        this.nowMillis = checkNotNull(nowMillis);
        this.scheduler = checkNotNull(scheduler);
    }

    /**
     * Returns a stop that has not begun.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param scheduler runs timers on the requests' thread
     * @return the stop
     */
    public static PlannedStop create(LongSupplier nowMillis, Scheduler scheduler) {
        return new PlannedStop(nowMillis, scheduler);
    }

    /**
     * Begins the stop. Has no effect if it has begun.
     *
     * @param leftMillis time after which open requests are ended, in milliseconds
     */
    public void begin(long leftMillis) {
        if (!begun) {
            begun = true;
            endAtMillis = nowMillis.getAsLong() + leftMillis;
            scheduler.schedule(leftMillis, this::end);
        }
    }

    private void end() {
        ImmutableList.copyOf(endActions.values()).forEach(Runnable::run);
    }

    /** Returns the time by which a request with the given deadline ends, on the monotonic clock, in milliseconds. */
    long limit(long deadlineAtMillis) {
        return Math.min(deadlineAtMillis, endAtMillis);
    }

    /** Runs an action at the end of the stop, unless cancelled before. */
    Scheduler.Cancellable onEnd(Runnable action) {
        Object key = new Object();
        endActions.put(key, action);
        return () -> endActions.remove(key);
    }

    /** Returns whether a request that ends at its deadline, or as others on its route, ends before the stop. */
    boolean leavesTimeFor(Route route, long deadlineAtMillis) {
        return !begun || deadlineAtMillis <= endAtMillis || expectedMillis(route) < endAtMillis - nowMillis.getAsLong();
    }

    private long expectedMillis(Route route) {
        return Optional.ofNullable(answerTimes.getIfPresent(route.name()))
                .map(AnswerTime::expectedMillis)
                .orElse(route.goalMillis());
    }

    /** Notes the time from a request's arrival to the end of its answer, in milliseconds. */
    void onAnswered(Route route, long elapsedMillis) {
        AnswerTime times = answerTimes.getIfPresent(route.name());
        if (times == null) {
            answerTimes.put(route.name(), new AnswerTime(elapsedMillis));
        } else {
            times.add(elapsedMillis);
        }
    }

    /** Moving mean and mean deviation of the time to the end of an answer. */
    private static final class AnswerTime {
        private static final double MEAN_WEIGHT = 1.0 / 8;
        private static final double DEVIATION_WEIGHT = 1.0 / 4;
        private static final double DEVIATIONS = 2;

        private double meanMillis;
        private double deviationMillis;

        private AnswerTime(long firstMillis) {
            meanMillis = firstMillis;
            deviationMillis = firstMillis / 2.0;
        }

        private void add(long millis) {
            deviationMillis += DEVIATION_WEIGHT * (Math.abs(millis - meanMillis) - deviationMillis);
            meanMillis += MEAN_WEIGHT * (millis - meanMillis);
        }

        private long expectedMillis() {
            return (long) (meanMillis + DEVIATIONS * deviationMillis);
        }
    }
}
