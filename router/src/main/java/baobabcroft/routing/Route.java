package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Routing rule for requests to a host and a path prefix.
 *
 * @param name name of the route, as configured
 * @param host host that callers address, without a port
 * @param pathPrefix prefix of the path; starts and ends with a slash
 * @param kind whether requests may be executed repeatedly
 * @param timeoutMillis longest time that a caller waits for the answer, in milliseconds
 * @param goalMillis latency goal: time within which an answer is on time, in milliseconds
 * @param priority priority of the requests, 0 first
 * @param maxEndpoints most endpoints on which one attempt of a caller may be executed
 * @param maxGapMillis longest gap between events with which a stream is on time, in milliseconds; 0 if not configured
 * @param publicAccess whether callers may omit the API key
 * @param resumable whether another endpoint may continue an interrupted stream
 * @param models the models that may answer, smallest first; empty if callers name the model
 * @param targets the services that serve the route, with their weights; not empty
 * @param allowedRegions the regions in which its requests may be served
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long goalMillis,
        int priority,
        int maxEndpoints,
        long maxGapMillis,
        boolean publicAccess,
        boolean resumable,
        ImmutableList<String> models,
        ImmutableList<RouteTarget> targets,
        AllowedRegions allowedRegions) {
    /** Validates the components. */
    public Route {
        checkNotNull(name);
        checkNotNull(host);
        checkArgument(pathPrefix.startsWith("/") && pathPrefix.endsWith("/"), "pathPrefix: %s", pathPrefix);
        checkNotNull(kind);
        checkArgument(timeoutMillis > 0, "timeoutMillis not positive: %s", timeoutMillis);
        checkArgument(maxEndpoints > 0, "maxEndpoints not positive: %s", maxEndpoints);
        checkArgument(maxGapMillis >= 0, "negative maxGapMillis: %s", maxGapMillis);
        checkArgument(!targets.isEmpty(), "route %s has no target", name);
        checkNotNull(allowedRegions);
    }

    /**
     * Returns whether a request may be sent again although it may already have been executed.
     *
     * @return true for idempotent routes and resumable streams
     */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
    }

    /**
     * Returns the service for a request, chosen by weight.
     *
     * @param draw a random number in [0, 1)
     * @return name of the service
     */
    public String pickService(double draw) {
        double total = targets.stream().mapToDouble(RouteTarget::weight).sum();
        double left = draw * total;
        for (RouteTarget target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }
}
