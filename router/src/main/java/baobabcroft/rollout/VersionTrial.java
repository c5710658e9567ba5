package baobabcroft.rollout;

import java.util.Map;

/**
 * Sequential test of a new version against the old one, by route and over all routes, on the counts of all instances.
 */
final class VersionTrial {
    /** Failure rate that never makes a version bad: above that of sound plain services. */
    private static final double TOLERATED_FAILURES = 0.05;
    /** Rate of slow answers that never makes a version bad: caches of a new version are cold. */
    private static final double TOLERATED_DELAYS = 0.25;
    /** Logarithm of the e-value that shows a version bad: one false alarm in a thousand roll-outs a route. */
    private static final double LOG_THRESHOLD = 6.9;

    private VersionTrial() {}

    /** Returns whether the new version is bad on some route, or on all of them together. */
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
