package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;

/** Tracks requests that have crashed endpoints, across all instances. */
public interface PoisonDetector {
    /**
     * Returns whether a request that has arrived may be sent to an endpoint. One that is poison may be allowed a single
     * attempt at times, as a trial; it must not be sent again after that.
     *
     * @param request identity of the request
     * @return false if the request is to be refused
     */
    default boolean admit(RequestIdentity request) {
        return !isPoison(request);
    }

    /**
     * Returns whether a request must not be sent to any more endpoints.
     *
     * @param request identity of the request
     * @return true once the request has crashed several endpoints
     */
    boolean isPoison(RequestIdentity request);

    /**
     * Called when the connection to an endpoint was lost before the end of the request's answer.
     *
     * @param request identity of the request
     * @param endpoint the endpoint, which may have crashed
     */
    void onConnectionLost(RequestIdentity request, EndpointEntry endpoint);

    /**
     * Called when a request was answered completely.
     *
     * @param request identity of the request
     */
    void onAnswered(RequestIdentity request);
}
