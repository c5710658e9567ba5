package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Cumulative sums of the ratings of a version for one kind of request. The sums of one origin only grow, so that a
 * later report includes every earlier one.
 *
 * @param ratings number of ratings
 * @param sum sum of the ratings
 * @param squareSum sum of the squares of the ratings
 * @param belowTarget number of ratings below the target
 * @param belowTargetSum sum of the ratings below the target
 */
public record QualityEvidence(long ratings, double sum, double squareSum, long belowTarget, double belowTargetSum) {
    /** Evidence without ratings. */
    public static final QualityEvidence NONE = new QualityEvidence(0, 0, 0, 0, 0);

    /**
     * Returns the evidence of one rating.
     *
     * @param rating the rating, from zero to one
     * @param target the rating below which an answer misses the target
     * @return evidence with one rating
     */
    public static QualityEvidence of(double rating, double target) {
        checkArgument(rating >= 0 && rating <= 1, "rating not in [0, 1]: %s", rating);
        boolean missesTarget = rating < target;
        return new QualityEvidence(1, rating, rating * rating, missesTarget ? 1 : 0, missesTarget ? rating : 0);
    }

    /**
     * Returns the sum of this and other evidence.
     *
     * @param other evidence from other answers
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
     * Returns the later of two reports of the same origin.
     *
     * @param other another report of the sums of the same origin
     * @return the one with more ratings
     */
    public QualityEvidence latest(QualityEvidence other) {
        return other.ratings > ratings ? other : this;
    }
}
