package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One attempt at an endpoint and the expectations on which the endpoint was chosen.
 *
 * @param endpoint the endpoint
 * @param model the model that the router chose; empty if the caller named it
 * @param attempt number of the attempt within the request, starting at 1
 * @param expectedMillis expected time to the first output, in milliseconds
 * @param waitMillis the part of it that other requests cause, in milliseconds
 * @param resumeAfter id of the last event that the caller has; empty unless a stream is resumed
 */
public record AttemptInfo(
        EndpointEntry endpoint,
        Optional<String> model,
        int attempt,
        long expectedMillis,
        long waitMillis,
        OptionalLong resumeAfter) {
    /** Validates the components. */
    public AttemptInfo {
        checkNotNull(endpoint);
        checkNotNull(model);
        checkArgument(attempt >= 1, "attempt must be at least 1: %s", attempt);
        checkNotNull(resumeAfter);
    }

    AttemptInfo(EndpointChooser.Choice choice, Optional<String> model, int attempt, OptionalLong resumeAfter) {
        this(
                choice.endpoint(),
                model,
                attempt,
                (long) choice.firstOutputMillis(),
                (long) choice.waitMillis(),
                resumeAfter);
    }
}
