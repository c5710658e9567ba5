package baobabcroft.experiment;

import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rollout.DetectorSettings;

/**
 * Optimal sequential test (CUSUM) for a degraded version, as a reference for detection delay: it is given both
 * hypotheses and the time of the change, and observes every outcome immediately. Its log-likelihood ratio is compared
 * with the threshold that the router's detector uses.
 */
final class SequentialReference {
    private static final double SLOW_GOOD = 0.01;
    private static final double SLOW_BAD = 0.9;

    private final Scenario.Badness badness;
    private final double threshold = -Math.log(DetectorSettings.defaults().falseAlarmRate());
    private final double goodQuality;
    private final double qualityVariance;
    private double logRatio;
    private double crossedMillis = Double.POSITIVE_INFINITY;

    SequentialReference(Scenario.Badness badness, double goodQuality, double qualityVariance) {
        this.badness = badness;
        this.goodQuality = goodQuality;
        this.qualityVariance = qualityVariance;
    }

    void answered(AnswerOutcome outcome, double nowMillis) {
        if (badness == Scenario.Badness.ERRORS) {
            add(outcome.failed(), VersionBehavior.GOOD_ERROR_RATE, VersionBehavior.BAD_ERROR_RATE, nowMillis);
        }
        if (badness == Scenario.Badness.SLOWNESS) {
            add(outcome.slow(), SLOW_GOOD, SLOW_BAD, nowMillis);
        }
    }

    void rated(double rating, double nowMillis) {
        if (badness != Scenario.Badness.QUALITY) {
            return;
        }
        double badQuality = goodQuality - VersionBehavior.BAD_QUALITY_LOSS;
        double fromGood = rating - goodQuality;
        double fromBad = rating - badQuality;
        logRatio += (fromGood * fromGood - fromBad * fromBad) / (2 * qualityVariance);
        check(nowMillis);
    }

    private void add(boolean bad, double goodRate, double badRate, double nowMillis) {
        logRatio += bad ? Math.log(badRate / goodRate) : Math.log((1 - badRate) / (1 - goodRate));
        check(nowMillis);
    }

    private void check(double nowMillis) {
        logRatio = Math.max(0, logRatio);
        if (logRatio >= threshold) {
            crossedMillis = Math.min(crossedMillis, nowMillis);
        }
    }

    /** Returns the virtual time at which the test detected the degradation, or infinity if it did not. */
    double crossedMillis() {
        return crossedMillis;
    }
}
