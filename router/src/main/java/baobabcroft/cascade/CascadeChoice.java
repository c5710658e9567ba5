package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalInt;

/**
 * How a cascade answers a request.
 *
 * @param step index of the step that answers first
 * @param rate whether the answer should be rated, if the budget allows it
 * @param escalateBelow rating under which the next step is asked as well; zero for never
 */
public record CascadeChoice(int step, boolean rate, double escalateBelow) {
    /** Checks the step. */
    public CascadeChoice {
        checkArgument(step >= 0, "negative step: %s", step);
    }

    /**
     * Returns the step to ask after an answer was rated.
     *
     * @param answered index of the step that answered
     * @param steps how many steps the cascade has
     * @param rating the answer's rating
     * @param remainingMillis time until the answer is due, in milliseconds
     * @param expectedMillis expected time of the next step's answer, in milliseconds
     * @return the next step, or empty if the answer is good enough, the last one or the deadline too near
     */
    public OptionalInt escalate(int answered, int steps, double rating, long remainingMillis, double expectedMillis) {
        boolean isShort = rating < escalateBelow;
        boolean inTime = expectedMillis < remainingMillis;
        return isShort && inTime && answered + 1 < steps ? OptionalInt.of(answered + 1) : OptionalInt.empty();
    }
}
