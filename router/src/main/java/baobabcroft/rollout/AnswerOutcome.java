package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The outcome of one request at a version.
 *
 * @param failed whether the request failed or was answered with an error caused by the version
 * @param slow whether the answer took longer than operators expect
 */
public record AnswerOutcome(boolean failed, boolean slow) {
    /** Rejects an outcome that is both failed and slow. */
    public AnswerOutcome {
        checkArgument(!(failed && slow), "outcome cannot be both failed and slow");
    }
}
