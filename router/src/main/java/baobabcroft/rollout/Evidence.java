package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Cumulative counts of the outcomes of a version. Counts never decrease, so a later report of an origin includes its
 * earlier ones.
 *
 * @param answers requests that it answered or failed to answer
 * @param errors requests among them that failed
 * @param slow answers among them that took too long
 * @param ratings number of ratings
 * @param ratingShortfall sum of the shortfalls; the shortfall is one minus the rating
 * @param shortfallSquares sum of the squared shortfalls
 */
public record Evidence(
        long answers, long errors, long slow, long ratings, double ratingShortfall, double shortfallSquares) {
    /** No evidence. */
    public static final Evidence NONE = new Evidence(0, 0, 0, 0, 0, 0);

    /**
     * Returns the evidence with one more answer.
     *
     * @param outcome outcome of one request
     * @return the sum
     */
    public Evidence plus(AnswerOutcome outcome) {
        return plus(new Evidence(1, outcome.failed() ? 1 : 0, outcome.slow() ? 1 : 0, 0, 0, 0));
    }

    /**
     * Returns the evidence with one more rating.
     *
     * @param rating the rating, from zero to one
     * @return the sum
     */
    public Evidence plusRating(double rating) {
        checkArgument(rating >= 0 && rating <= 1, "rating not in [0, 1]: %s", rating);
        double shortfall = 1 - rating;
        return plus(new Evidence(0, 0, 0, 1, shortfall, shortfall * shortfall));
    }

    /**
     * Returns the sum with other evidence.
     *
     * @param other evidence on disjoint answers
     * @return the sum
     */
    public Evidence plus(Evidence other) {
        return new Evidence(
                answers + other.answers,
                errors + other.errors,
                slow + other.slow,
                ratings + other.ratings,
                ratingShortfall + other.ratingShortfall,
                shortfallSquares + other.shortfallSquares);
    }

    /**
     * Returns the evidence gathered after an earlier state.
     *
     * @param earlier an earlier state of the same counts
     * @return the difference
     */
    public Evidence since(Evidence earlier) {
        return new Evidence(
                answers - earlier.answers,
                errors - earlier.errors,
                slow - earlier.slow,
                ratings - earlier.ratings,
                Math.max(0, ratingShortfall - earlier.ratingShortfall),
                Math.max(0, shortfallSquares - earlier.shortfallSquares));
    }

    /**
     * Returns the later of two states of one origin's counts.
     *
     * @param other another state of the same counts
     * @return the maximum of each count
     */
    public Evidence latest(Evidence other) {
        return new Evidence(
                Math.max(answers, other.answers),
                Math.max(errors, other.errors),
                Math.max(slow, other.slow),
                Math.max(ratings, other.ratings),
                Math.max(ratingShortfall, other.ratingShortfall),
                Math.max(shortfallSquares, other.shortfallSquares));
    }
}
