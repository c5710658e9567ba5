package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a service states of its endpoints after a start, while they are cold.
 *
 * @param durationMillis time for which an endpoint is cold after its start, in milliseconds
 * @param requestsPerSecond requests a second that a cold endpoint tolerates from all instances together
 */
public record WarmUp(long durationMillis, double requestsPerSecond) {
    /** Validates the components. */
    public WarmUp {
        checkArgument(durationMillis >= 0, "negative durationMillis: %s", durationMillis);
        checkArgument(requestsPerSecond > 0, "requestsPerSecond not positive: %s", requestsPerSecond);
    }
}
