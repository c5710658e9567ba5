package baobabcroft.rollout;

/**
 * What one version's answers on one route were.
 *
 * @param answers answers counted
 * @param failed failures among them
 * @param slow answers among them that took several times as long as the old version's do
 */
public record RouteTrials(long answers, long failed, long slow) {
    /** No answers. */
    public static final RouteTrials NONE = new RouteTrials(0, 0, 0);

    /**
     * Returns the sum of two counts.
     *
     * @param other other counts
     * @return the sum
     */
    public RouteTrials plus(RouteTrials other) {
        return new RouteTrials(answers + other.answers, failed + other.failed, slow + other.slow);
    }

    RouteTrials plusAnswer(boolean isFailed, boolean isSlow) {
        return new RouteTrials(answers + 1, failed + (isFailed ? 1 : 0), slow + (isSlow ? 1 : 0));
    }

    RateEvidence failures() {
        return new RateEvidence(answers, failed);
    }

    RateEvidence delays() {
        return new RateEvidence(answers, slow);
    }
}
