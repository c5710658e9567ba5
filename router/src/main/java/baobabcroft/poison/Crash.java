package baobabcroft.poison;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An endpoint that died while it ran a request.
 *
 * @param requestDigest digest of the request
 * @param endpoint name of the endpoint
 * @param atEpochMillis when it was seen, in milliseconds since the epoch
 */
public record Crash(String requestDigest, String endpoint, long atEpochMillis) {
    /** Checks the parts. */
    public Crash {
        checkNotNull(requestDigest);
        checkNotNull(endpoint);
    }
}
