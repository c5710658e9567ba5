package baobabcroft.experiment;

import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rollout.DetectorSettings;

/**
 * Optimal sequential test (CUSUM) for a degraded version, as a reference for detection delay: it is given both
 * hypotheses and the time of the change, and observes every outcome immediately. Its log-likelihood ratio is compared
 * with the threshold that the router's detector uses.
 */
final class SequentialReference {
    private static final double HEALTHY_SLOW_RATE = 0.01;
    private static final double DEGRADED_SLOW_RATE = 0.9;

    private final Scenario.Degradation degradation;
    private final double threshold = -Math.log(DetectorSettings.defaults().falseAlarmRate());
    private final double healthyQuality;
    private final double qualityVariance;
    private double logLikelihoodRatio;
    private double detectedAtMillis = Double.POSITIVE_INFINITY;

    SequentialReference(Scenario.Degradation degradation, double healthyQuality, double qualityVariance) {
        this.degradation = degradation;
        this.healthyQuality = healthyQuality;
        this.qualityVariance = qualityVariance;
    }

    void recordOutcome(AnswerOutcome outcome, double nowMillis) {
        if (degradation == Scenario.Degradation.ERRORS) {
            addObservation(
                    outcome.failed(),
                    VersionBehavior.HEALTHY_ERROR_RATE,
                    VersionBehavior.DEGRADED_ERROR_RATE,
                    nowMillis);
        }
        if (degradation == Scenario.Degradation.SLOWNESS) {
            addObservation(outcome.slow(), HEALTHY_SLOW_RATE, DEGRADED_SLOW_RATE, nowMillis);
        }
    }

    void recordRating(double rating, double nowMillis) {
        if (degradation != Scenario.Degradation.QUALITY) {
            return;
        }
        double degradedQuality = healthyQuality - VersionBehavior.DEGRADED_QUALITY_LOSS;
        double fromHealthy = rating - healthyQuality;
        double fromDegraded = rating - degradedQuality;
        logLikelihoodRatio += (fromHealthy * fromHealthy - fromDegraded * fromDegraded) / (2 * qualityVariance);
        checkThreshold(nowMillis);
    }

    private void addObservation(boolean observed, double healthyRate, double degradedRate, double nowMillis) {
        logLikelihoodRatio +=
                observed ? Math.log(degradedRate / healthyRate) : Math.log((1 - degradedRate) / (1 - healthyRate));
        checkThreshold(nowMillis);
    }

    private void checkThreshold(double nowMillis) {
        logLikelihoodRatio = Math.max(0, logLikelihoodRatio);
        if (logLikelihoodRatio >= threshold) {
            detectedAtMillis = Math.min(detectedAtMillis, nowMillis);
        }
    }

    /** Returns the virtual time at which the test detected the degradation, or infinity if it did not. */
    double detectedAtMillis() {
        return detectedAtMillis;
    }
}
