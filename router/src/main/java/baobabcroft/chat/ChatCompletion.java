package baobabcroft.chat;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/**
 * A complete, validated chat completion.
 *
 * @param completionTokens number of generated tokens as reported by the engine; 0 if it reported none
 * @param text text of the first choice, used for rating; empty if it has none
 */
public record ChatCompletion(long completionTokens, String text) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Returns the completion in a response body, if it is complete and from the expected version.
     *
     * @param body the response body
     * @param expectedVersion full name of the requested version
     * @param choices number of requested choices
     * @return the completion, or empty if the body is not a complete completion of that version
     */
    public static Optional<ChatCompletion> parse(byte[] body, String expectedVersion, int choices) {
        JsonNode root;
        try {
            root = JSON.readTree(checkNotNull(body));
        } catch (IOException malformed) {
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
        return Optional.of(new ChatCompletion(tokens, text));
    }
}
