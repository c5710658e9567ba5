package baobabcroft.chat;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Is told how a relayed stream ends; exactly one of its methods is called, once. */
public interface StreamObserver {
    /**
     * The engine's answer is complete; its end is held until the stage completes.
     *
     * @param completionTokens generated tokens
     * @return empty when the end may be released, else the error text that ends the stream instead
     */
    CompletionStage<Optional<String>> onWhole(long completionTokens);

    /**
     * The engine's answer broke off or was not valid.
     *
     * @param completionTokens tokens relayed so far
     * @param reason what was seen
     * @return the error text that ends the stream
     */
    String onBroken(long completionTokens, String reason);

    /**
     * The caller left.
     *
     * @param completionTokens tokens relayed so far
     */
    void onCallerLeft(long completionTokens);
}
