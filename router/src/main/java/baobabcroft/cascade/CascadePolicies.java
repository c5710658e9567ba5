package baobabcroft.cascade;

/** The policies at hand: the product's and the baselines it is measured against. All are stateless. */
public final class CascadePolicies {
    private CascadePolicies() {}

    /**
     * Returns the policy that always asks the dearest version.
     *
     * @return the policy
     */
    public static CascadePolicy dearest() {
        return (steps, qualityTarget, random) -> new CascadeChoice(steps.size() - 1, false, 0);
    }

    /**
     * Returns the policy that always asks the same step.
     *
     * @param step index of the step; a cascade with fewer uses its last
     * @return the policy
     */
    public static CascadePolicy fixed(int step) {
        return (steps, qualityTarget, random) -> new CascadeChoice(Math.min(step, steps.size() - 1), false, 0);
    }

    /**
     * Returns the policy that always asks the cheapest version first and the next one when the rating is under a
     * threshold.
     *
     * @param threshold the rating
     * @return the policy
     */
    public static CascadePolicy fixedThreshold(double threshold) {
        return (steps, qualityTarget, random) -> new CascadeChoice(0, true, threshold);
    }

    /**
     * Returns the product's policy: the cheapest plan whose lower confidence bound meets the target, with a part of
     * the ratings spent on cheaper versions that may yet meet it.
     *
     * @return the policy
     */
    public static CascadePolicy lowerBound() {
        return new LowerBoundPolicy();
    }
}
