package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Sums of a version's ratings on one kind of request. They only grow, so the later of two told by one origin includes
 * the earlier.
 *
 * @param ratings answers that were rated
 * @param sum sum of the ratings
 * @param squareSum sum of their squares
 * @param belowTarget ratings under the target
 * @param belowTargetSum sum of the ratings under the target
 */
public record QualityEvidence(long ratings, double sum, double squareSum, long belowTarget, double belowTargetSum) {
    /** No evidence. */
    public static final QualityEvidence NONE = new QualityEvidence(0, 0, 0, 0, 0);

    /**
     * Returns the evidence of one rating.
     *
     * @param rating the rating, from zero to one
     * @param target the rating under which an answer is short
     * @return the evidence
     */
    public static QualityEvidence of(double rating, double target) {
        checkArgument(rating >= 0 && rating <= 1, "rating not in [0, 1]: %s", rating);
        boolean isShort = rating < target;
        return new QualityEvidence(1, rating, rating * rating, isShort ? 1 : 0, isShort ? rating : 0);
    }

    /**
     * Returns the sum with other evidence.
     *
     * @param other evidence on other answers
     * @return the sum
     */
    public QualityEvidence plus(QualityEvidence other) {
        return new QualityEvidence(
                ratings + other.ratings,
                sum + other.sum,
                squareSum + other.squareSum,
                belowTarget + other.belowTarget,
                belowTargetSum + other.belowTargetSum);
    }

    /**
     * Returns the later of two states of one origin's sums.
     *
     * @param other another state of the same sums
     * @return the one with more ratings
     */
    public QualityEvidence latest(QualityEvidence other) {
        return other.ratings > ratings ? other : this;
    }
}
