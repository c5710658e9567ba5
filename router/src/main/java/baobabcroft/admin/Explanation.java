package baobabcroft.admin;

import baobabcroft.common.ErrorCode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * The routing decision that an instance would make for a request, and its reasons.
 *
 * @param refusal error code with which the request would be refused; empty if it would be admitted
 * @param version version that would serve the request; empty if the target is an operation or none was chosen
 * @param endpoint endpoint to which the request would be sent; empty if none was chosen
 * @param steps steps of the decision, in order
 */
public record Explanation(
        Optional<ErrorCode> refusal, Optional<String> version, Optional<String> endpoint, List<Step> steps) {
    /** Copies the steps. */
    public Explanation {
        steps = ImmutableList.copyOf(steps);
    }

    /**
     * A step of a routing decision.
     *
     * @param stage subject of the step, such as {@code access}, {@code session}, {@code version} or {@code endpoint}
     * @param finding result of the step and the facts that led to it
     */
    public record Step(String stage, String finding) {}
}
