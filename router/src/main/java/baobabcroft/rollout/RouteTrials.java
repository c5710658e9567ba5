package baobabcroft.rollout;

import baobabcroft.relay.AttemptResult;

/**
 * Answer counts of one version on one route.
 *
 * @param answers number of requests answered or failed
 * @param failed number among them that were answered with an error or not answered
 * @param lost number among them whose connection was lost before the answer was complete
 * @param slow number of answers among them that took several times as long as the old version's average
 * @param timed number of attempts that are old enough to tell whether they are slow, including slow ones; fast ones do
 *     not count earlier, as else a version would look the faster the more requests it has just got
 */
public record RouteTrials(long answers, long failed, long lost, long slow, long timed) {
    /** No answers. */
    public static final RouteTrials NONE = new RouteTrials(0, 0, 0, 0, 0);

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
                timed + other.timed);
    }

    /** Returns the counts with one more answer that is not slow, as far as is known. */
    RouteTrials plusAnswer(AttemptResult result) {
        return new RouteTrials(
                answers + 1,
                failed + (result == AttemptResult.FAILED ? 1 : 0),
                lost + (result == AttemptResult.LOST ? 1 : 0),
                slow,
                timed);
    }

    /** Returns the counts with one more answer that is slow. */
    RouteTrials plusSlowAnswer(boolean isTimedAlready) {
        return new RouteTrials(answers + 1, failed, lost, slow + 1, timed + (isTimedAlready ? 0 : 1));
    }

    /** Returns the counts with one more attempt that is known not to be slow. */
    RouteTrials plusTimed() {
        return new RouteTrials(answers, failed, lost, slow, timed + 1);
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
        return new RateEvidence(timed, slow);
    }
}
