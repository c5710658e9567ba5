package baobabcroft.endpoint;

import java.util.concurrent.CompletionStage;

/** Sends requests to endpoints. Thread-safe. */
@FunctionalInterface
public interface EndpointClient {
    /**
     * Sends a request once; never retries.
     *
     * @param call what to send, where, and how long to wait for the answer's head
     * @return the answer's head with its body as a stream, or the failure with its verdict; never completes
     *     exceptionally
     */
    CompletionStage<EndpointResult> send(EndpointCall call);
}
