package baobabcroft.rollout;

import baobabcroft.relay.AttemptResult;

/**
 * Answer counts of one version on one route.
 *
 * @param answers number of requests answered or failed
 * @param failed number among them that were answered with an error or not answered
 * @param lost number among them whose connection was lost before the answer was complete
 * @param slow number of answers among them that took several times as long as the old version's average
 * @param timed number of attempts that are old enough to tell whether their first output is late, including late ones;
 *     those in time do not count earlier, as else a version would look the faster the more requests it has just got
 * @param late number of attempts among the timed ones whose first output is late
 */
public record RouteTrials(long answers, long failed, long lost, long slow, long timed, long late) {
    /** No answers. */
    public static final RouteTrials NONE = new RouteTrials(0, 0, 0, 0, 0, 0);

    /**
     * Returns the sum of two counts.
     *
     * @param other other counts
     * @return the sum
     */
    public RouteTrials plus(RouteTrials other) {
        return new RouteTrials(
                answers + other.answers,
                failed + other.failed,
                lost + other.lost,
                slow + other.slow,
                timed + other.timed,
                late + other.late);
    }

    /** Returns the counts with one more answer. */
    RouteTrials plusAnswer(AttemptResult result, boolean isSlow) {
        return new RouteTrials(
                answers + 1,
                failed + (result == AttemptResult.FAILED ? 1 : 0),
                lost + (result == AttemptResult.LOST ? 1 : 0),
                slow + (isSlow ? 1 : 0),
                timed,
                late);
    }

    /** Returns the counts with one more attempt of which it is known whether its first output is late. */
    RouteTrials plusTimed(boolean isLate) {
        return new RouteTrials(answers, failed, lost, slow, timed + 1, late + (isLate ? 1 : 0));
    }

    /** Returns the greater of two counts of the same source. */
    RouteTrials max(RouteTrials other) {
        return answers + timed >= other.answers + other.timed ? this : other;
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

    RateEvidence lateEvidence() {
        return new RateEvidence(timed, late);
    }
}
