package baobabcroft.rollout;

import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import java.util.Collection;

/** Distributes ratings evenly over the open versions of a model, so that a small share does not delay a verdict. */
public final class RatingAllocation {
    private RatingAllocation() {}

    /**
     * Returns the probability with which to rate an answer.
     *
     * @param version the version that answered
     * @param versions all versions of its model
     * @param ratedShare fraction of all answers to rate, from zero to one
     * @return a probability, higher for versions with a smaller share
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
