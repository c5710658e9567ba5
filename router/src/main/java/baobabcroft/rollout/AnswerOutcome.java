package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a version did with one request.
 *
 * @param failed whether it failed or answered with an error of its own
 * @param slow whether its answer took longer than the operators expect
 */
public record AnswerOutcome(boolean failed, boolean slow) {
    /** Checks that a failure is not also counted as slow. */
    public AnswerOutcome {
        checkArgument(!(failed && slow), "outcome both failed and slow");
    }
}
