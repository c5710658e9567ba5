package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableMultiset;

/** Notified of each step of a request. Called on the requests' thread; must not block. */
public interface RelayListener {
    /**
     * Called when a request is sent to an endpoint.
     *
     * @param requestId id of the caller's request
     * @param attempt the attempt and the expectations on which the endpoint was chosen
     */
    void onAttemptStarted(String requestId, AttemptInfo attempt);

    /**
     * Called when an attempt ended without an answer for the caller.
     *
     * @param requestId id of the caller's request
     * @param endpoint the endpoint
     * @param reason lower-case words joined by underscores
     */
    void onAttemptFailed(String requestId, EndpointEntry endpoint, String reason);

    /**
     * Called when a request finds no endpoint and ends.
     *
     * @param requestId id of the caller's request
     * @param exclusions why the service's endpoints are excluded, with the number of endpoints for each reason; without
     *     those that the request was sent to before
     */
    void onNoEndpoint(String requestId, ImmutableMultiset<Ineligibility> exclusions);

    /**
     * Called when a request waits until an endpoint ends a pause.
     *
     * @param requestId id of the caller's request
     * @param waitMillis how long it waits at most, in milliseconds
     */
    void onWaiting(String requestId, long waitMillis);

    /**
     * Called when a request has ended, with or without a final answer.
     *
     * @param summary the result of the request
     */
    void onFinished(RelaySummary summary);
}
