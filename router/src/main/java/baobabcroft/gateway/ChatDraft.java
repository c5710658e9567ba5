package baobabcroft.gateway;

import baobabcroft.chat.ChatAnswer;
import baobabcroft.rules.VersionId;
import org.apache.pekko.util.ByteString;

/**
 * A complete chat response that has not been released to the caller.
 *
 * @param delivery the endpoint response that carried it
 * @param bytes the body
 * @param answer the parsed body
 * @param tokens number of generated tokens, including those of earlier steps of a cascade
 * @param amountMicros price of these tokens, in millionths of the currency unit
 */
record ChatDraft(Delivery delivery, ByteString bytes, ChatAnswer answer, long tokens, long amountMicros) {
    /** Returns the response of a request's first step. */
    static ChatDraft of(Delivery delivery, ByteString bytes, ChatAnswer answer) {
        long amountMicros =
                Charge.priceMicros(answer.completionTokens(), delivery.target().priceMicros());
        return new ChatDraft(delivery, bytes, answer, answer.completionTokens(), amountMicros);
    }

    /** Returns this response with the tokens and the price of an earlier step added. */
    ChatDraft after(ChatDraft earlier) {
        return new ChatDraft(delivery, bytes, answer, tokens + earlier.tokens, amountMicros + earlier.amountMicros);
    }

    /** Returns the version that generated the response. */
    VersionId version() {
        return VersionId.parse(delivery.target().name()).orElseThrow();
    }
}
