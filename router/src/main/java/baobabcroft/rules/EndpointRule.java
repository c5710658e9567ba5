package baobabcroft.rules;

import com.google.common.net.HostAndPort;
import java.util.Optional;
import java.util.Set;

/**
 * An endpoint: a model engine or one server of a plain service.
 *
 * @param name the endpoint's name, unique in a rules file
 * @param address IP address and port, unique in a rules file
 * @param failureDomain name of the failure domain that it runs in
 * @param versions the model versions that it serves; empty for a plain service
 * @param service the plain service that it serves; empty for a model engine
 * @param maxConcurrent maximum number of concurrent requests on this endpoint
 * @param checksFencing whether it rejects requests that carry an outdated fencing token
 */
public record EndpointRule(
        String name,
        HostAndPort address,
        String failureDomain,
        Set<VersionId> versions,
        Optional<String> service,
        int maxConcurrent,
        boolean checksFencing) {
    /** Makes an immutable copy of the versions. */
    public EndpointRule {
        versions = Set.copyOf(versions);
    }
}
