package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A service that serves a share of the requests of a route.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the other targets of the route; not negative
 */
public record RouteTarget(String service, double weight) {
    /** Validates the components. */
    public RouteTarget {
        checkNotNull(service);
        checkArgument(weight >= 0, "negative weight: %s", weight);
    }
}
