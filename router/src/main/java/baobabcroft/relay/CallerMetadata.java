package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Values read from the headers of a caller's request.
 *
 * @param requestId id of the request, set by the caller
 * @param timeoutMillis the caller's timeout from the request's arrival, in milliseconds; empty if not stated
 * @param key the key of a client account; empty if none is presented
 * @param prompt size and parts of the prompt; {@link Prompt#NONE} if the request has none
 * @param routerChoosesModel whether the router chooses the model
 * @param resumeAfter id of the last event that the caller has; empty unless it resumes a stream
 * @param session the session that the request belongs to; empty if none
 */
public record CallerMetadata(
        String requestId,
        OptionalLong timeoutMillis,
        Optional<String> key,
        Prompt prompt,
        boolean routerChoosesModel,
        OptionalLong resumeAfter,
        Optional<String> session) {
    /** Validates the components. */
    public CallerMetadata {
        checkNotNull(requestId);
        checkNotNull(prompt);
    }
}
