package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;

/** Told of each decision on a request. Must not block. */
public interface RelayListener {
    /**
     * A request is sent to an endpoint.
     *
     * @param requestId id of the caller attempt
     * @param send where to, and what decided on it
     */
    void onAttemptStarted(String requestId, AttemptInfo send);

    /**
     * A send ended without an answer for the caller.
     *
     * @param requestId id of the caller attempt
     * @param endpoint the endpoint
     * @param reason lower-case words joined by underscores
     */
    void onAttemptFailed(String requestId, EndpointEntry endpoint, String reason);

    /**
     * A request has its final answer.
     *
     * @param summary what became of it
     */
    void onFinished(RelaySummary summary);
}
