package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;

/** Tracks requests that have crashed endpoints, across all instances. */
public interface PoisonDetector {
    /**
     * Returns whether a request must not be sent to any more endpoints.
     *
     * @param request the caller's request
     * @param account name of the client account; empty if none
     * @return true once the request has crashed several endpoints
     */
    boolean isPoison(CallerRequest request, String account);

    /**
     * Called when the connection to an endpoint was lost before the request's first output.
     *
     * @param request the caller's request
     * @param account name of the client account; empty if none
     * @param endpoint the endpoint, which may have crashed
     */
    void onConnectionLost(CallerRequest request, String account, EndpointEntry endpoint);
}
