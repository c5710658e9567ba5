package baobabcroft.rollout;

import baobabcroft.relay.AttemptMonitor;
import baobabcroft.relay.AttemptResult;
import baobabcroft.routing.Route;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * This instance's attempts at the new and the old version during a rollout: counts by route, and the attempts that have
 * not ended. An attempt counts once as an answer, as soon as it is known to be slow or has ended, and once for its
 * first output, at the age at which that is late. Not thread-safe.
 */
final class VersionTrials {
    private final LongSupplier nowMillis;
    private final Runnable onTargetSuspect;
    private final Map<String, RouteTrials> targetCounts = new HashMap<>();
    private final Map<String, RouteTrials> baseCounts = new HashMap<>();
    private final Map<String, ResponseTimes> firstOutputTimes = new HashMap<>();
    private final Map<String, ResponseTimes> answerTimes = new HashMap<>();
    private final Set<Attempt> openAttempts = new LinkedHashSet<>();
    /** Answers that have ended before the age at which a first output is late. */
    private final Set<Attempt> untimedAnswers = new LinkedHashSet<>();

    private boolean targetChanged;

    /**
     * Creates trials without attempts.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param onTargetSuspect called when a failed, lost or slow attempt at the new version was counted
     */
    VersionTrials(LongSupplier nowMillis, Runnable onTargetSuspect) {
        this.nowMillis = nowMillis;
        this.onTargetSuspect = onTargetSuspect;
    }

    /** Starts to observe an attempt. */
    AttemptMonitor monitorAttempt(boolean ofTarget, Route route) {
        Attempt attempt = new Attempt(ofTarget, route);
        openAttempts.add(attempt);
        return attempt;
    }

    /** Returns the counts of the new version by route. */
    Map<String, RouteTrials> target() {
        return targetCounts;
    }

    /** Returns the counts of the old version by route. */
    Map<String, RouteTrials> base() {
        return baseCounts;
    }

    /** Returns whether the counts of the new version have changed since the last call. */
    boolean takeTargetChanged() {
        boolean changed = targetChanged;
        targetChanged = false;
        return changed;
    }

    /** Counts the open attempts that are slow already, and those that are old enough to tell. */
    void countSlowAttempts() {
        for (Attempt attempt : Set.copyOf(openAttempts)) {
            attempt.countIfSlow();
            attempt.countIfTimed();
        }
        untimedAnswers.removeIf(Attempt::countIfTimed);
    }

    /** Forgets all counts and open attempts. */
    void clear() {
        targetChanged |= !targetCounts.isEmpty();
        targetCounts.clear();
        baseCounts.clear();
        openAttempts.clear();
        untimedAnswers.clear();
    }

    /** One attempt; ignored once it is no longer among the open ones. */
    private final class Attempt implements AttemptMonitor {
        private final boolean ofTarget;
        private final String route;
        private final long goalMillis;
        private final long sentAtMillis = nowMillis.getAsLong();
        private boolean firstOutput;
        private boolean counted;
        private boolean timed;

        private Attempt(boolean ofTarget, Route route) {
            this.ofTarget = ofTarget;
            this.route = route.name();
            this.goalMillis = route.goalMillis();
        }

        @Override
        public void firstOutputReceived() {
            if (firstOutput || !openAttempts.contains(this)) {
                return;
            }
            countIfSlow();
            countIfTimed();
            firstOutput = true;
            addToStandard(firstOutputTimes);
        }

        @Override
        public void ended(AttemptResult result) {
            if (!openAttempts.contains(this)) {
                return;
            }
            if (result == AttemptResult.ANSWERED || result == AttemptResult.SUPERSEDED) {
                firstOutputReceived();
            }
            if (result != AttemptResult.NOT_RUN) {
                countIfSlow();
                countIfTimed();
            }
            openAttempts.remove(this);
            if (result == AttemptResult.ANSWERED) {
                addToStandard(answerTimes);
            }
            if (firstOutput && !countIfTimed()) {
                untimedAnswers.add(this);
            }
            if (result != AttemptResult.NOT_RUN && result != AttemptResult.ABANDONED) {
                countEnd(result);
            }
        }

        private void addToStandard(Map<String, ResponseTimes> times) {
            if (!ofTarget) {
                times.computeIfAbsent(route, unused -> new ResponseTimes()).add(elapsedMillis());
            }
        }

        private void countIfSlow() {
            boolean slow = firstOutput ? elapsedMillis() > slowAfterMillis(answerTimes, Double.MAX_VALUE) : isLateNow();
            if (slow && !counted) {
                counted = true;
                add(RouteTrials.NONE.plusAnswer(AttemptResult.ANSWERED, true));
                suspect();
            }
        }

        /** Counts the first output once the attempt is old enough; returns whether it is counted. */
        private boolean countIfTimed() {
            if (!timed && isLateNow()) {
                timed = true;
                add(RouteTrials.NONE.plusTimed(!firstOutput));
                if (!firstOutput) {
                    suspect();
                }
            }
            return timed;
        }

        /** Returns whether a first output would be late if it came now. */
        private boolean isLateNow() {
            return elapsedMillis() > slowAfterMillis(firstOutputTimes, (double) goalMillis);
        }

        private void suspect() {
            if (ofTarget) {
                onTargetSuspect.run();
            }
        }

        private double slowAfterMillis(Map<String, ResponseTimes> times, double withoutStandardMillis) {
            return times.getOrDefault(route, new ResponseTimes()).slowAfterMillis(goalMillis, withoutStandardMillis);
        }

        private void countEnd(AttemptResult result) {
            if (counted) {
                return;
            }
            counted = true;
            add(RouteTrials.NONE.plusAnswer(result, false));
            if (result == AttemptResult.FAILED || result == AttemptResult.LOST) {
                suspect();
            }
        }

        private void add(RouteTrials added) {
            (ofTarget ? targetCounts : baseCounts).merge(route, added, RouteTrials::plus);
            targetChanged |= ofTarget;
        }

        private long elapsedMillis() {
            return nowMillis.getAsLong() - sentAtMillis;
        }
    }
}
