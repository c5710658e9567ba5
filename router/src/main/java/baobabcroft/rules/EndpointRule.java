package baobabcroft.rules;

import com.google.common.net.HostAndPort;
import java.util.Optional;
import java.util.Set;

/**
 * An endpoint: a model engine or an instance of a plain service.
 *
 * @param name the endpoint's name
 * @param address IP number and port
 * @param failureDomain the failure domain it stands in
 * @param versions the versions that it serves; empty for a plain service
 * @param service the plain service that it serves, if it is not a model engine
 * @param maxConcurrent requests that may run on it at once
 * @param checksFencing whether it refuses an order that carries an old fencing number
 */
public record EndpointRule(
        String name,
        HostAndPort address,
        String failureDomain,
        Set<VersionId> versions,
        Optional<String> service,
        int maxConcurrent,
        boolean checksFencing) {
    /** Copies the versions. */
    public EndpointRule {
        versions = Set.copyOf(versions);
    }
}
