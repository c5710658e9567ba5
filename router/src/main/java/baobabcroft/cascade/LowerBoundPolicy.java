package baobabcroft.cascade;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Asks the cheapest version whose lower confidence bound meets the target, and explores cheaper ones now and then. */
final class LowerBoundPolicy implements CascadePolicy {
    private static final double EXPLORE_SHARE = 0.05;
    private static final double CHECK_SHARE = 0.05;

    @Override
    public CascadeChoice choose(List<CascadeStep> steps, double qualityTarget, UniformRandomProvider random) {
        List<QualityEstimate> estimates = steps.stream()
                .map(step -> QualityEstimate.of(step, qualityTarget))
                .toList();
        int chosen = cheapestThatMeets(estimates, qualityTarget);
        int hopeful = cheapestThatMay(estimates, qualityTarget);
        if (hopeful < chosen && random.nextDouble() < EXPLORE_SHARE) {
            return new CascadeChoice(hopeful, true, qualityTarget);
        }
        return new CascadeChoice(chosen, random.nextDouble() < CHECK_SHARE, qualityTarget);
    }

    private static int cheapestThatMeets(List<QualityEstimate> estimates, double qualityTarget) {
        for (int i = 0; i < estimates.size(); i++) {
            if (estimates.get(i).lowerBound() >= qualityTarget) {
                return i;
            }
        }
        return best(estimates);
    }

    private static int cheapestThatMay(List<QualityEstimate> estimates, double qualityTarget) {
        for (int i = 0; i < estimates.size(); i++) {
            if (estimates.get(i).upperBound() >= qualityTarget) {
                return i;
            }
        }
        return best(estimates);
    }

    private static int best(List<QualityEstimate> estimates) {
        int best = 0;
        for (int i = 1; i < estimates.size(); i++) {
            if (estimates.get(i).mean() > estimates.get(best).mean()) {
                best = i;
            }
        }
        return best;
    }
}
