package baobabcroft.poison;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A crash of an endpoint while it was processing a request.
 *
 * @param requestDigest digest that identifies the request
 * @param endpoint name of the endpoint
 * @param atEpochMillis wall-clock time at which the crash was detected, in milliseconds since the epoch
 */
public record Crash(String requestDigest, String endpoint, long atEpochMillis) {
    /** Rejects null components. */
    public Crash {
        checkNotNull(requestDigest);
        checkNotNull(endpoint);
    }
}
