package baobabcroft.external;

import static com.google.common.base.Preconditions.checkArgument;

/** Outcome of a rating request. */
public sealed interface RatingResult {
    /**
     * The answer was rated.
     *
     * @param score quality of the answer, from 0 (worst) to 1 (best)
     */
    record Rated(double score) implements RatingResult {
        /** Checks the score. */
        public Rated {
            checkArgument(score >= 0 && score <= 1, "score must be from 0 to 1, was %s", score);
        }
    }

    /** The rating service rejected the request because its rate limit was reached. */
    record Limited() implements RatingResult {}

    /**
     * The call failed or its response was invalid.
     *
     * @param reason description of the failure, for logs
     */
    record Unavailable(String reason) implements RatingResult {}
}
