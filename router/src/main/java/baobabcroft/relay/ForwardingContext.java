package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Values that the router sets in the headers of a request to an endpoint.
 *
 * @param endpointId the only endpoint that may run the request
 * @param account name of the client account; empty if the caller presented no known key
 * @param remainingMillis time left until the request's deadline, in milliseconds
 * @param model the model that the router chose; empty if the caller named it
 * @param priority priority at the endpoint, 0 being the highest
 * @param resumeAfter id of the last event that the caller has; empty unless a stream is resumed
 */
public record ForwardingContext(
        String endpointId,
        Optional<String> account,
        long remainingMillis,
        Optional<String> model,
        int priority,
        OptionalLong resumeAfter) {
    /** Validates the components. */
    public ForwardingContext {
        checkNotNull(endpointId);
        checkNotNull(account);
        checkNotNull(model);
        checkNotNull(resumeAfter);
    }
}
