package baobabcroft.external;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A model answer to be rated.
 *
 * @param version the version that produced it, as {@code model@version}
 * @param requestKind coarse class of the request
 * @param requestDigest digest of the request's text
 * @param answer the answer's text
 */
public record RatingRequest(String version, String requestKind, String requestDigest, String answer) {
    /** Checks the components. */
    public RatingRequest {
        checkNotNull(version);
        checkNotNull(requestKind);
        checkNotNull(requestDigest);
        checkNotNull(answer);
    }
}
