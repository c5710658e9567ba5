package baobabcroft.chat;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/**
 * A chat answer that came whole and passed the checks.
 *
 * @param completionTokens generated tokens, as the engine counted them
 * @param text the first choice's text, for rating
 */
public record ChatAnswer(long completionTokens, String text) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Returns the answer that a body holds, if it is whole and of the expected version.
     *
     * @param body the endpoint's body
     * @param expectedVersion the version that was asked for
     * @param choices how many alternatives were asked for
     * @return the answer, or empty if the body is not a complete answer of that version
     */
    public static Optional<ChatAnswer> parse(byte[] body, String expectedVersion, int choices) {
        JsonNode root;
        try {
            root = JSON.readTree(checkNotNull(body));
        } catch (IOException garbage) {
            return Optional.empty();
        }
        if (root == null
                || !root.path("choices").isArray()
                || root.path("choices").size() != choices) {
            return Optional.empty();
        }
        if (root.has("model") && !root.get("model").asText().equals(expectedVersion)) {
            return Optional.empty();
        }
        for (JsonNode choice : root.get("choices")) {
            if (!choice.path("finish_reason").isTextual()
                    || !choice.path("message").isObject()) {
                return Optional.empty();
            }
        }
        long tokens = root.path("usage").path("completion_tokens").asLong(0);
        String text = root.get("choices").get(0).path("message").path("content").asText("");
        return Optional.of(new ChatAnswer(tokens, text));
    }
}
