package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** Decides which versions of a service a request may use while a new version is rolled out, and hears what they did. */
public interface VersionSelector {
    /**
     * Returns the endpoints that a request may use.
     *
     * @param service name of the service
     * @param open its endpoints that take new requests
     * @param session the request's session, if any
     * @param requestId id of the caller attempt
     * @return the endpoints of the version that the request is given
     */
    ImmutableList<EndpointEntry> selectEndpoints(
            String service, ImmutableList<EndpointEntry> open, Optional<String> session, String requestId);

    /**
     * Counts an answer.
     *
     * @param endpoint the endpoint that answered
     * @param route name of the route
     * @param session the request's session, if any
     * @param failed whether the answer was a failure
     * @param firstMillis time to the answer's first output, in milliseconds
     */
    void recordOutcome(
            EndpointEntry endpoint, String route, Optional<String> session, boolean failed, long firstMillis);
}
