package baobabcroft.admin;

import baobabcroft.common.ErrorCode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * What an instance would do with a request, and why.
 *
 * @param refusal why the request would be refused, if it would be
 * @param version the version that would run it, if it is for a model
 * @param endpoint the endpoint that it would be sent to
 * @param steps the steps of the decision in their order
 */
public record Explanation(
        Optional<ErrorCode> refusal, Optional<String> version, Optional<String> endpoint, List<Step> steps) {
    /** Copies the steps. */
    public Explanation {
        steps = ImmutableList.copyOf(steps);
    }

    /**
     * A step of a decision.
     *
     * @param stage what was decided, as {@code access}, {@code session}, {@code version} or {@code endpoint}
     * @param finding the result and the facts behind it
     */
    public record Step(String stage, String finding) {}
}
