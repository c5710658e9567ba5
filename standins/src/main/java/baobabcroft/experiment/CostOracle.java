package baobabcroft.experiment;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Lower bound on cost: the least cost at which a policy that knows the quality of every answer in advance reaches the
 * target on average.
 */
final class CostOracle {
    static final double QUALITY_TARGET = 0.75;

    private static final int BISECTIONS = 60;
    private static final double MAX_QUALITY_PRICE = 1e6;
    private static final long[] PRICE_MICROS = {100, 300, 1_000};

    /** Mean cost and quality per request. */
    record Outcome(double costMicros, double quality) {}

    private CostOracle() {}

    /**
     * Returns the outcome of the oracle.
     *
     * <p>Each request uses the model with the greatest weighted quality minus cost. A bisection finds the least weight
     * of quality that reaches the target (Lagrangian relaxation).
     */
    static Outcome leastCost(List<SimRequest> requests) {
        double low = 0;
        double high = MAX_QUALITY_PRICE;
        for (int i = 0; i < BISECTIONS; i++) {
            double qualityPrice = (low + high) / 2;
            if (outcome(requests, qualityPrice).quality() >= QUALITY_TARGET) {
                high = qualityPrice;
            } else {
                low = qualityPrice;
            }
        }
        return outcome(requests, high);
    }

    /** Returns the outcome of the first model, in order of price, that alone reaches the target, else of the last. */
    static Outcome bestFixed(List<SimRequest> requests) {
        Outcome best = fixed(requests, 0);
        for (int model = 1; model < PRICE_MICROS.length && best.quality() < QUALITY_TARGET; model++) {
            best = fixed(requests, model);
        }
        return best;
    }

    private static Outcome fixed(List<SimRequest> requests, int model) {
        return new Outcome(
                mean(requests, request -> costMicros(request, model)),
                mean(requests, request -> request.qualities().get(model)));
    }

    private static Outcome outcome(List<SimRequest> requests, double qualityPrice) {
        return new Outcome(
                mean(requests, request -> costMicros(request, bestModel(request, qualityPrice))),
                mean(requests, request -> request.qualities().get(bestModel(request, qualityPrice))));
    }

    private static int bestModel(SimRequest request, double qualityPrice) {
        int best = 0;
        for (int model = 1; model < PRICE_MICROS.length; model++) {
            if (netValue(request, model, qualityPrice) > netValue(request, best, qualityPrice)) {
                best = model;
            }
        }
        return best;
    }

    private static double netValue(SimRequest request, int model, double qualityPrice) {
        return request.qualities().get(model) * qualityPrice - costMicros(request, model);
    }

    private static double costMicros(SimRequest request, int model) {
        return PRICE_MICROS[model] * request.outputTokens() / 1_000.0;
    }

    private static double mean(List<SimRequest> requests, ToDoubleFunction<SimRequest> value) {
        return requests.stream().mapToDouble(value).average().orElse(0);
    }
}
