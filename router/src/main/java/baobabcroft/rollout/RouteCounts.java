package baobabcroft.rollout;

/**
 * Answer counts of one version on one route.
 *
 * @param answers number of requests answered or failed
 * @param failed number of failures among them
 * @param slow number of answers among them that took several times as long as the old version's average
 */
public record RouteCounts(long answers, long failed, long slow) {
    /** No answers. */
    public static final RouteCounts NONE = new RouteCounts(0, 0, 0);

    /**
     * Returns the sum of two counts.
     *
     * @param other other counts
     * @return the sum
     */
    public RouteCounts plus(RouteCounts other) {
        return new RouteCounts(answers + other.answers, failed + other.failed, slow + other.slow);
    }

    RouteCounts plusAnswer(boolean isFailed, boolean isSlow) {
        return new RouteCounts(answers + 1, failed + (isFailed ? 1 : 0), slow + (isSlow ? 1 : 0));
    }

    RateEvidence failureEvidence() {
        return new RateEvidence(answers, failed);
    }

    RateEvidence slowEvidence() {
        return new RateEvidence(answers, slow);
    }
}
