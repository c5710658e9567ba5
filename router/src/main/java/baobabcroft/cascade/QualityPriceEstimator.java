package baobabcroft.cascade;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Computes the price of quality of one cascade from its recent requests by kind: the lowest price at which the mean
 * quality of their answers reaches the target.
 *
 * <p>The price converts quality into cost. Each kind of request is answered by the step with the greatest quality times
 * price, minus cost, so that money is spent where it improves quality most. The price is recomputed every
 * {@code REQUESTS_PER_UPDATE} requests. Thread-safe.
 */
final class QualityPriceEstimator {
    private static final int MAX_KINDS = 256;
    private static final int REQUESTS_PER_UPDATE = 50;
    private static final int BISECTION_STEPS = 40;
    private static final double MAX_PRICE_FACTOR = 1_000;
    private static final double DECAY = 0.98;

    private final Map<RequestKind, Entry> kinds = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestKind, Entry> eldest) {
            return size() > MAX_KINDS;
        }
    };
    private int requests;
    private double qualityPrice;

    private record Entry(double weight, ImmutableList<QualityEstimate> estimates, ImmutableList<Double> costs) {
        Entry decayed() {
            return new Entry(weight * DECAY, estimates, costs);
        }
    }

    /** Counts a request and returns the current price of quality, in micros for each thousand tokens. */
    synchronized double recordRequest(
            RequestKind kind, List<CascadeStep> steps, List<QualityEstimate> estimates, double qualityTarget) {
        Entry previous = kinds.get(kind);
        double weight = previous == null ? 0 : previous.weight();
        ImmutableList<Double> costs = steps.stream()
                .map(step -> (double) step.priceMicrosPerThousandTokens())
                .collect(ImmutableList.toImmutableList());
        kinds.put(kind, new Entry(weight + 1, ImmutableList.copyOf(estimates), costs));
        if (requests++ % REQUESTS_PER_UPDATE == 0) {
            update(qualityTarget);
        }
        return qualityPrice;
    }

    private void update(double qualityTarget) {
        kinds.replaceAll((kind, entry) -> entry.decayed());
        double low = 0;
        double high = MAX_PRICE_FACTOR
                * kinds.values().stream()
                        .flatMap(entry -> entry.costs().stream())
                        .mapToDouble(Double::doubleValue)
                        .max()
                        .orElse(0);
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = (low + high) / 2;
            if (meanQuality(middle) >= qualityTarget) {
                high = middle;
            } else {
                low = middle;
            }
        }
        qualityPrice = high;
    }

    private double meanQuality(double price) {
        double weights = 0;
        double sum = 0;
        for (Entry entry : kinds.values()) {
            weights += entry.weight();
            int best = bestStep(entry.estimates(), entry.costs(), price, QualityEstimate::lowerBound);
            sum += entry.weight() * entry.estimates().get(best).lowerBound();
        }
        return weights == 0 ? 0 : sum / weights;
    }

    /** Returns the index of the step with the greatest quality times price, minus cost. */
    static int bestStep(
            List<QualityEstimate> estimates,
            List<Double> costs,
            double price,
            ToDoubleFunction<QualityEstimate> quality) {
        int best = 0;
        double bestNet = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < costs.size(); i++) {
            double net = quality.applyAsDouble(estimates.get(i)) * price - costs.get(i);
            if (net > bestNet) {
                best = i;
                bestNet = net;
            }
        }
        return best;
    }
}
