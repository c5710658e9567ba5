package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A send to an endpoint with what decided on it, for the journal.
 *
 * @param endpoint the endpoint
 * @param model the model chosen, if any
 * @param attempt number of the send, from one
 * @param expectedMillis expected time to the first output, in milliseconds
 * @param waitMillis the part of it that other requests cause, in milliseconds
 * @param resumeAfter number of the last event that the caller has, if a stream goes on
 */
public record AttemptInfo(
        EndpointEntry endpoint,
        Optional<String> model,
        int attempt,
        long expectedMillis,
        long waitMillis,
        OptionalLong resumeAfter) {
    /** Checks the parts. */
    public AttemptInfo {
        checkNotNull(endpoint);
        checkNotNull(model);
        checkArgument(attempt >= 1, "attempt under one: %s", attempt);
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
