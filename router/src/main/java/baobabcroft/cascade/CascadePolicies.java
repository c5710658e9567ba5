package baobabcroft.cascade;

/** The policies at hand: the product's and the baselines it is measured against. All are thread-safe. */
public final class CascadePolicies {
    private CascadePolicies() {}

    /**
     * Returns the policy that always asks the dearest version.
     *
     * @return the policy
     */
    public static CascadePolicy mostExpensive() {
        return (kind, steps, qualityTarget, random) -> new CascadeChoice(steps.size() - 1, false, 0);
    }

    /**
     * Returns the policy that always asks the same step.
     *
     * @param step index of the step; a cascade with fewer uses its last
     * @return the policy
     */
    public static CascadePolicy fixed(int step) {
        return (kind, steps, qualityTarget, random) -> new CascadeChoice(Math.min(step, steps.size() - 1), false, 0);
    }

    /**
     * Returns the policy that always asks the cheapest version first and the next one when the rating is under a
     * threshold.
     *
     * @param threshold the rating
     * @return the policy
     */
    public static CascadePolicy fixedThreshold(double threshold) {
        return (kind, steps, qualityTarget, random) -> new CascadeChoice(0, true, threshold);
    }

    /**
     * Returns the product's policy: the step with the best lower bound of quality net of its cost, at the price of
     * quality that just reaches the target over the recent requests of the cascade.
     *
     * @return the policy, with a memory of recent requests of each cascade
     */
    public static CascadePolicy qualityPrice() {
        return new QualityPricePolicy();
    }
}
