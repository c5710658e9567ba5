package baobabcroft.rollout;

import java.util.Map;

/**
 * Sequential test of a new version against the old one, for each route and over all routes. Counts of the new version
 * are those of all instances.
 */
final class VersionComparison {
    /** Failure rate up to which no version is bad: above that of healthy plain services. */
    private static final double TOLERATED_FAILURE_RATE = 0.05;
    /** Rate of slow answers up to which no version is bad: the caches of a new version are cold. */
    private static final double TOLERATED_SLOW_RATE = 0.15;
    /** Natural logarithm of the e-value at which a version is bad: one false alarm per test and route in a thousand. */
    private static final double LOG_BAD = 6.9;
    /** The same for a version that is too doubtful to remove the old one: odds of two to one. */
    private static final double LOG_SUSPECT = 0.7;

    private VersionComparison() {}

    /** Returns whether the new version is bad on any single route or over all routes together. */
    static boolean isBad(Map<String, RouteTrials> target, Map<String, RouteTrials> base) {
        return isWorse(target, base, LOG_BAD);
    }

    /** Returns whether there is more evidence for the new version being bad than against it. */
    static boolean isSuspect(Map<String, RouteTrials> target, Map<String, RouteTrials> base) {
        return isWorse(target, base, LOG_SUSPECT);
    }

    private static boolean isWorse(
            Map<String, RouteTrials> target, Map<String, RouteTrials> base, double logThreshold) {
        RouteTrials allTarget = RouteTrials.NONE;
        RouteTrials allBase = RouteTrials.NONE;
        for (RouteTrials counts : base.values()) {
            allBase = allBase.plus(counts);
        }
        for (Map.Entry<String, RouteTrials> route : target.entrySet()) {
            allTarget = allTarget.plus(route.getValue());
            if (isWorse(route.getValue(), base.getOrDefault(route.getKey(), RouteTrials.NONE), logThreshold)) {
                return true;
            }
        }
        return isWorse(allTarget, allBase, logThreshold);
    }

    /**
     * Errors and lost connections are also tested apart. Requests that crash endpoints of either version raise the rate
     * of lost connections, and in one sum they would hide errors of the new version.
     */
    private static boolean isWorse(RouteTrials target, RouteTrials base, double logThreshold) {
        return isWorse(
                        target.failureOrLossEvidence(),
                        base.failureOrLossEvidence(),
                        TOLERATED_FAILURE_RATE,
                        logThreshold)
                || isWorse(target.failureEvidence(), base.failureEvidence(), TOLERATED_FAILURE_RATE, logThreshold)
                || isWorse(target.lossEvidence(), base.lossEvidence(), TOLERATED_FAILURE_RATE, logThreshold)
                || isWorse(target.lateEvidence(), base.lateEvidence(), TOLERATED_SLOW_RATE, logThreshold)
                || isWorse(target.slowEvidence(), base.slowEvidence(), TOLERATED_SLOW_RATE, logThreshold);
    }

    private static boolean isWorse(RateEvidence target, RateEvidence base, double tolerated, double logThreshold) {
        return target.logEvalueAbove(tolerated) >= logThreshold
                && (base.trials() == 0 || target.logBayesFactorAgainst(base) >= logThreshold / 2);
    }
}
