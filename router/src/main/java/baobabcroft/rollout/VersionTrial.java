package baobabcroft.rollout;

import java.util.Map;

/**
 * Sequential test of a new version against the old one, for each route and over all routes. The new version's counts are
 * those of all instances.
 */
final class VersionTrial {
    /** Failure rate up to which no version is bad: above that of healthy plain services. */
    private static final double TOLERATED_FAILURES = 0.05;
    /** Rate of slow answers up to which no version is bad: the caches of a new version are cold. */
    private static final double TOLERATED_DELAYS = 0.25;
    /** Natural logarithm of the e-value at which a version is bad: one false alarm per route in a thousand rollouts. */
    private static final double LOG_THRESHOLD = 6.9;

    private VersionTrial() {}

    /** Returns whether the new version is bad on any single route or over all routes together. */
    static boolean isBad(Map<String, RouteTrials> target, Map<String, RouteTrials> base) {
        RouteTrials allTarget = RouteTrials.NONE;
        RouteTrials allBase = RouteTrials.NONE;
        for (RouteTrials trials : base.values()) {
            allBase = allBase.plus(trials);
        }
        for (Map.Entry<String, RouteTrials> route : target.entrySet()) {
            allTarget = allTarget.plus(route.getValue());
            if (isBad(route.getValue(), base.getOrDefault(route.getKey(), RouteTrials.NONE))) {
                return true;
            }
        }
        return isBad(allTarget, allBase);
    }

    private static boolean isBad(RouteTrials target, RouteTrials base) {
        return isWorse(target.failures(), base.failures(), TOLERATED_FAILURES)
                || isWorse(target.delays(), base.delays(), TOLERATED_DELAYS);
    }

    private static boolean isWorse(RateEvidence target, RateEvidence base, double tolerated) {
        return target.logEvalueAbove(tolerated) >= LOG_THRESHOLD
                && (base.trials() == 0 || target.logBayesFactorAgainst(base) >= LOG_THRESHOLD / 2);
    }
}
