package baobabcroft.rollout;

import baobabcroft.relay.AttemptResult;

/**
 * Answer counts of one version on one route.
 *
 * @param answers number of requests answered or failed
 * @param failed number among them that were answered with an error or not answered
 * @param lost number among them whose connection was lost before the answer was complete
 * @param slow number of answers among them that took several times as long as the old version's average
 */
public record RouteTrials(long answers, long failed, long lost, long slow) {
    /** No answers. */
    public static final RouteTrials NONE = new RouteTrials(0, 0, 0, 0);

    /**
     * Returns the sum of two counts.
     *
     * @param other other counts
     * @return the sum
     */
    public RouteTrials plus(RouteTrials other) {
        return new RouteTrials(answers + other.answers, failed + other.failed, lost + other.lost, slow + other.slow);
    }

    RouteTrials plusAnswer(AttemptResult result, boolean isSlow) {
        return new RouteTrials(
                answers + 1,
                failed + (result == AttemptResult.FAILED ? 1 : 0),
                lost + (result == AttemptResult.LOST ? 1 : 0),
                slow + (isSlow ? 1 : 0));
    }

    RateEvidence failureEvidence() {
        return new RateEvidence(answers, failed);
    }

    RateEvidence lossEvidence() {
        return new RateEvidence(answers, lost);
    }

    RateEvidence failureOrLossEvidence() {
        return new RateEvidence(answers, failed + lost);
    }

    RateEvidence slowEvidence() {
        return new RateEvidence(answers, slow);
    }
}
