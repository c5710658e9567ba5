package baobabcroft.cascade;

/** Implementations of {@link CascadePolicy}: the default one and baselines for comparison. All are thread-safe. */
public final class CascadePolicies {
    private CascadePolicies() {}

    /**
     * Returns the policy that always uses the most expensive version.
     *
     * @return a stateless policy
     */
    public static CascadePolicy mostExpensive() {
        return (kind, steps, qualityTarget, random) -> new CascadeChoice(steps.size() - 1, false, 0);
    }

    /**
     * Returns the policy that always uses the same step.
     *
     * @param step index of the step, from zero; a cascade with fewer steps uses its last
     * @return a stateless policy
     */
    public static CascadePolicy fixed(int step) {
        return (kind, steps, qualityTarget, random) -> new CascadeChoice(Math.min(step, steps.size() - 1), false, 0);
    }

    /**
     * Returns the policy that always uses the cheapest version first and escalates below a fixed rating.
     *
     * @param threshold the rating, from zero to one, below which the next version answers as well
     * @return a stateless policy
     */
    public static CascadePolicy fixedThreshold(double threshold) {
        return (kind, steps, qualityTarget, random) -> new CascadeChoice(0, true, threshold);
    }

    /**
     * Returns the default policy. It uses the step with the greatest lower bound of quality net of cost, at the lowest
     * price of quality with which the recent requests of the cascade reach the target.
     *
     * @return a policy that keeps recent requests of each cascade
     */
    public static CascadePolicy qualityPrice() {
        return new QualityPricePolicy();
    }
}
