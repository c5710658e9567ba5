package baobabcroft.balance;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The properties of a request that affect the choice of its endpoint.
 *
 * @param prefixDigest digest of the prompt prefix, if requests that share it should go to one endpoint
 * @param remainingMillis time until the deadline of the request, in milliseconds
 * @param excludedEndpoints names of endpoints that must not be chosen, such as those that failed an earlier attempt
 * @param avoidedFailureDomain failure domain to avoid while another one has capacity
 */
public record EndpointCriteria(
        OptionalLong prefixDigest,
        long remainingMillis,
        Set<String> excludedEndpoints,
        Optional<String> avoidedFailureDomain) {
    /** Copies the excluded names. */
    public EndpointCriteria {
        excludedEndpoints = Set.copyOf(excludedEndpoints);
    }

    /**
     * Returns the properties of the first attempt of a request.
     *
     * @param prefixDigest digest of the prompt prefix, if there is one
     * @param remainingMillis time until the deadline of the request, in milliseconds
     * @return properties that exclude or avoid nothing
     */
    public static EndpointCriteria of(OptionalLong prefixDigest, long remainingMillis) {
        return new EndpointCriteria(prefixDigest, remainingMillis, Set.of(), Optional.empty());
    }
}
