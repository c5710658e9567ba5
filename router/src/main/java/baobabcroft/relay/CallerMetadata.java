package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say.
 *
 * @param requestId id of the caller attempt
 * @param timeoutMillis how long the caller waits, in milliseconds, if it says so
 * @param key the key that it presents, if any
 * @param prompt its prompt
 * @param routerChoosesModel whether the router names the model
 * @param resumeAfter number of the last event that the caller has, if it resumes a stream
 * @param session the session that it belongs to, if any
 */
public record CallerMetadata(
        String requestId,
        OptionalLong timeoutMillis,
        Optional<String> key,
        Prompt prompt,
        boolean routerChoosesModel,
        OptionalLong resumeAfter,
        Optional<String> session) {
    /** Checks the parts. */
    public CallerMetadata {
        checkNotNull(requestId);
        checkNotNull(prompt);
    }
}
