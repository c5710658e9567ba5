package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rollout.VersionStop.StopCause;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sequential test for bad versions on the evidence of all instances.
 *
 * <p>A version is bad if its rate of errors, slow answers or rating shortfall is above the tolerated level and above
 * that of the model's other open versions. The second condition keeps a fault common to all versions from stopping any
 * of them. Each condition must be supported by an e-value of at least {@code 1 / falseAlarmRate}. While the other
 * versions have no evidence at all, the tolerated level alone decides.
 *
 * <p>The test is repeated for several windows with different starts, so that a version that degrades after a long good
 * time is detected soon. The bound on false alarms holds for each window start.
 *
 * <p>Thread-safe; a check computes a few e-values for each window.
 */
public final class BadVersionDetector {
    private static final long MIN_TRIALS_WITHOUT_COMPARISON = 50;
    private static final long MIN_RATINGS = 5;
    private static final double MAX_SHORTFALL_LEVEL = 0.99;

    private final DetectorSettings settings;
    private final EvidenceLedger ledger;
    private final Deque<Map<VersionId, Evidence>> windowStarts = new ArrayDeque<>();
    private final Set<VersionId> seenVersions = new HashSet<>();
    private long windowStartedAtMillis = Long.MIN_VALUE;

    private BadVersionDetector(DetectorSettings settings, EvidenceLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        this.windowStarts.add(Map.of());
    }

    /**
     * Returns a detector that reads its evidence from a ledger.
     *
     * @param settings tolerated levels, bound on false alarms, and windows
     * @param ledger evidence of all instances; may be updated concurrently
     * @return the detector
     */
    public static BadVersionDetector create(DetectorSettings settings, EvidenceLedger ledger) {
        return new BadVersionDetector(checkNotNull(settings), checkNotNull(ledger));
    }

    /**
     * Tests a version on the evidence in each window.
     *
     * @param version the version to test
     * @param otherOpen the other open versions of its model
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return the stop, or empty if the version is not shown to be bad
     */
    public synchronized Optional<VersionStop> check(
            VersionRule version, Collection<VersionRule> otherOpen, long nowEpochMillis) {
        seenVersions.add(version.id());
        otherOpen.forEach(other -> seenVersions.add(other.id()));
        startWindowIfDue(nowEpochMillis);
        return windowStarts.stream()
                .flatMap(start -> checkWindow(version, otherOpen, start, nowEpochMillis).stream())
                .findFirst();
    }

    private void startWindowIfDue(long nowEpochMillis) {
        if (windowStartedAtMillis != Long.MIN_VALUE
                && nowEpochMillis - windowStartedAtMillis < settings.windowMillis()) {
            return;
        }
        Map<VersionId, Evidence> start = new HashMap<>();
        seenVersions.forEach(version -> start.put(version, ledger.total(version)));
        windowStarts.addFirst(start);
        windowStartedAtMillis = nowEpochMillis;
        if (windowStarts.size() > settings.maxWindows()) {
            windowStarts.removeLast();
        }
    }

    private Optional<VersionStop> checkWindow(
            VersionRule version,
            Collection<VersionRule> otherOpen,
            Map<VersionId, Evidence> start,
            long nowEpochMillis) {
        Evidence own = since(start, version.id());
        Evidence others = sum(otherOpen, start);
        Evidence othersSinceOldestStart = sum(otherOpen, windowStarts.getLast());
        if (isBad(errors(own), errors(others), errors(othersSinceOldestStart), settings.toleratedErrorRate())) {
            return Optional.of(stop(version, StopCause.ERRORS, nowEpochMillis, own.answers(), (double) own.errors()));
        }
        if (isBad(slow(own), slow(others), slow(othersSinceOldestStart), settings.toleratedSlowRate())) {
            return Optional.of(stop(version, StopCause.SLOWNESS, nowEpochMillis, own.answers(), (double) own.slow()));
        }
        double shortfall = 1 - version.expectedQuality() + settings.qualityMargin();
        if (isBadQuality(
                quality(own),
                quality(others),
                quality(othersSinceOldestStart),
                Math.min(MAX_SHORTFALL_LEVEL, shortfall))) {
            return Optional.of(stop(version, StopCause.QUALITY, nowEpochMillis, own.ratings(), own.ratingShortfall()));
        }
        return Optional.empty();
    }

    private static VersionStop stop(
            VersionRule version, StopCause cause, long nowEpochMillis, long trials, double losses) {
        return new VersionStop(version.id(), cause, nowEpochMillis, trials, losses / trials);
    }

    private boolean isBad(RateEvidence own, RateEvidence others, RateEvidence othersSinceOldestStart, double level) {
        if (own.logEvalueAbove(level) < threshold()) {
            return false;
        }
        return canSkipComparison(own.trials(), othersSinceOldestStart.trials())
                || own.logBayesFactorAgainst(others) >= threshold();
    }

    private boolean isBadQuality(
            MeanEvidence own, MeanEvidence others, MeanEvidence othersSinceOldestStart, double level) {
        if (own.trials() < MIN_RATINGS || own.logEvalueAbove(level) < threshold()) {
            return false;
        }
        return canSkipComparison(own.trials(), othersSinceOldestStart.trials())
                || own.logEvalueAbove(others) >= threshold();
    }

    private double threshold() {
        return -Math.log(settings.falseAlarmRate());
    }

    private static boolean canSkipComparison(double ownTrials, double othersTrials) {
        return othersTrials == 0 && ownTrials >= MIN_TRIALS_WITHOUT_COMPARISON;
    }

    private Evidence sum(Collection<VersionRule> versions, Map<VersionId, Evidence> start) {
        return versions.stream().map(version -> since(start, version.id())).reduce(Evidence.NONE, Evidence::plus);
    }

    private Evidence since(Map<VersionId, Evidence> start, VersionId version) {
        return ledger.total(version).since(start.getOrDefault(version, Evidence.NONE));
    }

    private static RateEvidence errors(Evidence evidence) {
        return new RateEvidence(evidence.answers(), evidence.errors());
    }

    private static RateEvidence slow(Evidence evidence) {
        return new RateEvidence(evidence.answers(), evidence.slow());
    }

    private static MeanEvidence quality(Evidence evidence) {
        return new MeanEvidence(evidence.ratings(), evidence.ratingShortfall(), evidence.shortfallSquares());
    }
}
