package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalInt;

/**
 * Decision on how a cascade answers a request.
 *
 * @param step index of the step that answers first, from zero
 * @param rate whether the answer should be rated, if the rating budget allows it
 * @param escalateBelow rating, from zero to one, below which the next step answers as well; zero for never
 */
public record CascadeChoice(int step, boolean rate, double escalateBelow) {
    /** Validates the step. */
    public CascadeChoice {
        checkArgument(step >= 0, "negative step: %s", step);
    }

    /**
     * Returns the step to escalate to after an answer was rated.
     *
     * @param answered index of the step that gave the answer
     * @param steps number of steps of the cascade
     * @param rating rating of the answer, from zero to one
     * @param remainingMillis time until the deadline of the request, in milliseconds
     * @param expectedMillis expected time of an answer of the next step, in milliseconds
     * @return the next step, or empty if the answer is good enough, there is no next step or it would miss the deadline
     */
    public OptionalInt escalate(int answered, int steps, double rating, long remainingMillis, double expectedMillis) {
        boolean belowThreshold = rating < escalateBelow;
        boolean inTime = expectedMillis < remainingMillis;
        return belowThreshold && inTime && answered + 1 < steps ? OptionalInt.of(answered + 1) : OptionalInt.empty();
    }
}
