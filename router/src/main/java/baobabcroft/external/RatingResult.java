package baobabcroft.external;

import static com.google.common.base.Preconditions.checkArgument;

/** Outcome of asking for a rating. */
public sealed interface RatingResult {
    /**
     * The answer was rated.
     *
     * @param score how good it is, from 0 to 1
     */
    record Rated(double score) implements RatingResult {
        /** Checks the score. */
        public Rated {
            checkArgument(score >= 0 && score <= 1, "score must be from 0 to 1, was %s", score);
        }
    }

    /** The service rates no more answers for the moment. */
    record Limited() implements RatingResult {}

    /**
     * The service did not answer.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements RatingResult {}
}
