package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import java.util.Optional;

/** Told of each decision on a request. Must not block. */
public interface RelayJournal {
    /**
     * A request is sent to an endpoint.
     *
     * @param requestId id of the caller attempt
     * @param endpoint the endpoint
     * @param model the model chosen, if any
     * @param attempt number of the send, from one
     */
    void sent(String requestId, EndpointEntry endpoint, Optional<String> model, int attempt);

    /**
     * A send ended without an answer for the caller.
     *
     * @param requestId id of the caller attempt
     * @param endpoint the endpoint
     * @param reason lower-case words joined by underscores
     */
    void sendFailed(String requestId, EndpointEntry endpoint, String reason);

    /**
     * A request has its final answer.
     *
     * @param summary what became of it
     */
    void finished(RelaySummary summary);
}
