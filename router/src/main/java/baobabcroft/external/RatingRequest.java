package baobabcroft.external;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An answer to be rated.
 *
 * @param version the version that made it, as {@code model@version}
 * @param requestKind coarse class of the request
 * @param requestDigest digest of the request's text
 * @param answer the answer's text
 */
public record RatingRequest(String version, String requestKind, String requestDigest, String answer) {
    /** Checks the parts. */
    public RatingRequest {
        checkNotNull(version);
        checkNotNull(requestKind);
        checkNotNull(requestDigest);
        checkNotNull(answer);
    }
}
