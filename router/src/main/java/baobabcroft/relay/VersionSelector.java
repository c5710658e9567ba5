package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** Selects the version of a service for each request during a rollout, and records the outcomes of its answers. */
public interface VersionSelector {
    /**
     * Returns the endpoints that a request may use.
     *
     * @param service name of the service
     * @param candidates the service's endpoints that accept new requests
     * @param session the request's session; empty if none
     * @param requestId id of the caller's request
     * @return the endpoints of the version selected for the request
     */
    ImmutableList<EndpointEntry> selectEndpoints(
            String service, ImmutableList<EndpointEntry> candidates, Optional<String> session, String requestId);

    /**
     * Records the outcome of an attempt that reached an endpoint.
     *
     * @param endpoint the endpoint
     * @param route name of the route
     * @param session the request's session; empty if none
     * @param result how the attempt ended
     * @param elapsedMillis time from sending the request to the end of the attempt, in milliseconds
     */
    void recordOutcome(
            EndpointEntry endpoint, String route, Optional<String> session, AttemptResult result, long elapsedMillis);
}
