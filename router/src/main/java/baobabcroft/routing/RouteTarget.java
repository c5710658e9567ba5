package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service name of the service
 * @param weight its share, relative to the route's other targets
 */
public record RouteTarget(String service, double weight) {
    /** Checks the parts. */
    public RouteTarget {
        checkNotNull(service);
        checkArgument(weight >= 0, "negative weight: %s", weight);
    }
}
