package baobabcroft.balance;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What the choice of an endpoint needs to know of a request.
 *
 * @param prefixDigest digest of the prompt's prefix, if requests with the same one profit from the same endpoint
 * @param remainingMillis time until the answer is due, in milliseconds
 * @param excludedEndpoints names of endpoints that it must not be sent to, such as those that failed it before
 * @param avoidedFailureDomain failure domain to avoid while another can serve it
 */
public record EndpointCriteria(
        OptionalLong prefixDigest,
        long remainingMillis,
        Set<String> excludedEndpoints,
        Optional<String> avoidedFailureDomain) {
    /** Copies the exclusions. */
    public EndpointCriteria {
        excludedEndpoints = Set.copyOf(excludedEndpoints);
    }

    /**
     * Returns the facts of a request's first attempt.
     *
     * @param prefixDigest digest of the prompt's prefix, if there is one
     * @param remainingMillis time until the answer is due, in milliseconds
     * @return the facts, with no exclusions
     */
    public static EndpointCriteria of(OptionalLong prefixDigest, long remainingMillis) {
        return new EndpointCriteria(prefixDigest, remainingMillis, Set.of(), Optional.empty());
    }
}
