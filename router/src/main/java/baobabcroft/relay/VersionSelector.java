package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.routing.Route;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** Selects the version of a service for each request during a rollout, and observes its answers. */
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
     * Starts to observe an attempt that is being sent.
     *
     * @param endpoint the endpoint
     * @param route route of the request
     * @return the monitor of the attempt
     */
    AttemptMonitor monitorAttempt(EndpointEntry endpoint, Route route);
}
