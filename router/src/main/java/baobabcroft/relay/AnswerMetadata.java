package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalInt;

/**
 * What the head of an endpoint's answer says.
 *
 * @param notRun whether the endpoint states that it has not run the request
 * @param otherEndpoint whether it is not the endpoint that the request names
 * @param receipt whether the answer bears the endpoint's receipt
 * @param encoded whether the body is not the endpoint's plain one
 * @param confidencePercent the model's opinion of its answer, if it gives one
 */
public record AnswerMetadata(
        boolean notRun, boolean otherEndpoint, boolean receipt, boolean encoded, OptionalInt confidencePercent) {
    /** Checks the parts. */
    public AnswerMetadata {
        checkNotNull(confidencePercent);
    }
}
