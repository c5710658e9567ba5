package baobabcroft.rollout;

import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import java.util.Collection;

/** Spends ratings evenly on the open versions of a model, so that one with a small share is judged as soon. */
public final class RatingAllocation {
    private RatingAllocation() {}

    /**
     * Returns the probability with which an answer should be rated.
     *
     * @param version the version that answered
     * @param versions all versions of its model
     * @param ratedShare part of all answers that should be rated
     * @return a probability; greater for versions with a smaller share
     */
    public static double probability(VersionRule version, Collection<VersionRule> versions, double ratedShare) {
        long open = versions.stream()
                .filter(rule -> rule.state() == VersionState.OPEN && rule.sharePercent() > 0)
                .count();
        if (version.sharePercent() == 0 || open == 0) {
            return ratedShare;
        }
        double share = version.sharePercent() / 100.0;
        return Math.min(1, ratedShare / (open * share));
    }
}
