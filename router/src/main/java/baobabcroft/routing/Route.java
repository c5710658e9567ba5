package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Where requests to a host and a path prefix go, and how they may be treated.
 *
 * @param name the operators' name of the route
 * @param host the host that callers name
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeoutMillis longest time that a caller is kept waiting, in milliseconds
 * @param goalMillis time within which an answer is on time, in milliseconds
 * @param priority rank, 0 first
 * @param maxEndpoints most endpoints on which one caller attempt may run
 * @param maxGapMillis longest pause between events with which a stream is on time, in milliseconds; 0 if not stated
 * @param publicAccess whether callers need no key
 * @param resumable whether a stream may go on at another endpoint
 * @param models the models that may answer, smallest first; empty where callers name the model
 * @param targets the services that serve the route
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
        ImmutableList<RouteTarget> targets) {
    /** Checks the parts. */
    public Route {
        checkNotNull(name);
        checkNotNull(host);
        checkArgument(pathPrefix.startsWith("/") && pathPrefix.endsWith("/"), "pathPrefix: %s", pathPrefix);
        checkNotNull(kind);
        checkArgument(timeoutMillis > 0, "timeoutMillis not positive: %s", timeoutMillis);
        checkArgument(maxEndpoints > 0, "maxEndpoints not positive: %s", maxEndpoints);
        checkArgument(maxGapMillis >= 0, "negative maxGapMillis: %s", maxGapMillis);
        checkArgument(!targets.isEmpty(), "route %s has no target", name);
    }

    /**
     * Returns whether a request may run again after it may have run.
     *
     * @return true for idempotent routes and resumable streams
     */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && resumable);
    }

    /**
     * Returns the service for a request.
     *
     * @param draw a number from zero (included) to one (excluded)
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
