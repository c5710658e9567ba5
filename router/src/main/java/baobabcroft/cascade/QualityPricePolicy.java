package baobabcroft.cascade;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Uses the step with the greatest quality net of cost, at the lowest price of quality with which the recent requests
 * reach the target, and requests ratings for part of the answers.
 *
 * <p>Steps are compared by the lower bounds of their quality. A share of the requests uses the step with the best upper
 * bound instead, to collect ratings of steps that may turn out better.
 */
final class QualityPricePolicy implements CascadePolicy {
    private static final double RATED_SHARE = 0.4;
    private static final double EXPLORATION_SHARE = 0.1;

    private final ConcurrentHashMap<String, QualityPriceEstimator> estimators = new ConcurrentHashMap<>();

    @Override
    public CascadeChoice choose(
            RequestKind kind, List<CascadeStep> steps, double qualityTarget, UniformRandomProvider random) {
        List<QualityEstimate> estimates =
                steps.stream().map(QualityEstimate::of).toList();
        QualityPriceEstimator estimator =
                estimators.computeIfAbsent(kind.cascade(), cascade -> new QualityPriceEstimator());
        double price = estimator.recordRequest(kind, steps, estimates, qualityTarget);
        List<Double> costs = steps.stream()
                .map(step -> (double) step.priceMicrosPerThousandTokens())
                .toList();
        int step = QualityPriceEstimator.bestStep(estimates, costs, price, QualityEstimate::lowerBound);
        int optimisticStep = QualityPriceEstimator.bestStep(estimates, costs, price, QualityEstimate::upperBound);
        if (optimisticStep != step && random.nextDouble() < EXPLORATION_SHARE) {
            step = optimisticStep;
        }
        boolean rate = random.nextDouble() < RATED_SHARE;
        return new CascadeChoice(step, rate, escalateBelow(estimates, costs, price, step));
    }

    /** Returns the rating below which an answer of the next step is worth its cost. */
    private static double escalateBelow(List<QualityEstimate> estimates, List<Double> costs, double price, int step) {
        if (step + 1 >= costs.size() || price <= 0) {
            return 0;
        }
        return Math.max(0, estimates.get(step + 1).mean() - costs.get(step + 1) / price);
    }
}
