package baobabcroft.endpoint;

import java.util.concurrent.CompletionStage;

/** Sends requests to endpoints. Thread-safe. */
@FunctionalInterface
public interface EndpointClient {
    /**
     * Sends a request once; never retries.
     *
     * @param call the request, its endpoint and the time to wait for the response head
     * @return the response head with its body as a stream, or the failure with its execution status; never completes
     *     exceptionally
     */
    CompletionStage<EndpointResult> send(EndpointCall call);
}
