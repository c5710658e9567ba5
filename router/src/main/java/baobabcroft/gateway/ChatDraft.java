package baobabcroft.gateway;

import baobabcroft.chat.ChatAnswer;
import baobabcroft.rules.VersionId;
import org.apache.pekko.util.ByteString;

/**
 * A whole chat answer that has not been released to its caller.
 *
 * @param delivery where it came from
 * @param bytes its body
 * @param answer what it says
 * @param tokens tokens generated so far, those of earlier steps of a cascade included
 * @param amountMicros their price, in millionths of the currency unit
 */
record ChatDraft(Delivery delivery, ByteString bytes, ChatAnswer answer, long tokens, long amountMicros) {
    /** Returns the draft of a request's first step. */
    static ChatDraft of(Delivery delivery, ByteString bytes, ChatAnswer answer) {
        long amountMicros =
                Charge.priceMicros(answer.completionTokens(), delivery.target().priceMicros());
        return new ChatDraft(delivery, bytes, answer, answer.completionTokens(), amountMicros);
    }

    /** Returns this draft with what an earlier step cost added. */
    ChatDraft after(ChatDraft earlier) {
        return new ChatDraft(delivery, bytes, answer, tokens + earlier.tokens, amountMicros + earlier.amountMicros);
    }

    /** Returns the version that answered. */
    VersionId version() {
        return VersionId.parse(delivery.target().name()).orElseThrow();
    }
}
