package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the router adds to a request that it sends to an endpoint.
 *
 * @param endpointId the endpoint that alone may run it
 * @param account the client account, if the caller showed a key
 * @param remainingMillis time left, in milliseconds
 * @param model the model that the router chose, if the caller left it open
 * @param priority rank, 0 first
 * @param resumeAfter number of the last event that the caller has, if a stream goes on
 */
public record ForwardingContext(
        String endpointId,
        Optional<String> account,
        long remainingMillis,
        Optional<String> model,
        int priority,
        OptionalLong resumeAfter) {
    /** Checks the parts. */
    public ForwardingContext {
        checkNotNull(endpointId);
        checkNotNull(account);
        checkNotNull(model);
        checkNotNull(resumeAfter);
    }
}
