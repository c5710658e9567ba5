package baobabcroft.chat;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Observes how a relayed stream ends. Exactly one of the methods is called, exactly once. */
public interface StreamObserver {
    /**
     * Called when the engine's completion is complete. Its final events are held back until the returned stage
     * completes.
     *
     * @param completionTokens number of generated tokens
     * @return empty to release the final events, or the error JSON that ends the stream instead of them
     */
    CompletionStage<Optional<String>> onComplete(long completionTokens);

    /**
     * Called when the engine's completion is truncated or invalid.
     *
     * @param completionTokens number of tokens received so far
     * @param reason description of the fault, for error messages
     * @return the error JSON that ends the stream
     */
    String onFailure(long completionTokens, String reason);

    /**
     * Called when the caller cancels the stream, for example by closing its connection.
     *
     * @param completionTokens number of tokens received so far
     */
    void onCancelled(long completionTokens);
}
