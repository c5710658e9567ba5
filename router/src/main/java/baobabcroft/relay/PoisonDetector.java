package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;

/** Remembers requests under which endpoints died, across instances. */
public interface PoisonDetector {
    /**
     * Returns whether a request must not be sent to any more endpoints.
     *
     * @param request the caller's request
     * @param account the client account, empty text if none
     * @return true once several endpoints have died under it
     */
    boolean isPoison(CallerRequest request, String account);

    /**
     * An endpoint's connection was lost before the request's first output.
     *
     * @param request the caller's request
     * @param account the client account, empty text if none
     * @param endpoint the endpoint
     */
    void onConnectionLost(CallerRequest request, String account, EndpointEntry endpoint);
}
