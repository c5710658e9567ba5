package baobabcroft.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** What one server-sent event of a chat stream says. Immutable. */
final class SseEvent {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final boolean done;
    private final boolean comment;
    private final JsonNode chunk;

    private SseEvent(boolean done, boolean comment, JsonNode chunk) {
        this.done = done;
        this.comment = comment;
        this.chunk = chunk;
    }

    /** Returns the event that a block of lines holds, or empty if it is not one of a chat stream. */
    static Optional<SseEvent> parse(String block) {
        StringBuilder data = new StringBuilder();
        for (String line : block.split("\r?\n", -1)) {
            if (line.startsWith(DATA)) {
                data.append(line, DATA.length(), line.length());
            }
        }
        String payload = data.toString().strip();
        if (payload.isEmpty()) {
            return Optional.of(new SseEvent(false, true, null));
        }
        if (payload.equals(DONE)) {
            return Optional.of(new SseEvent(true, false, null));
        }
        return parseChunk(payload);
    }

    private static Optional<SseEvent> parseChunk(String payload) {
        try {
            JsonNode chunk = JSON.readTree(payload);
            if (chunk == null || !chunk.path("choices").isArray()) {
                return Optional.empty();
            }
            return Optional.of(new SseEvent(false, false, chunk));
        } catch (IOException garbage) {
            return Optional.empty();
        }
    }

    /** Returns whether this is the end mark. */
    boolean isDone() {
        return done;
    }

    /** Returns whether this is a comment or keep-alive without data. */
    boolean isComment() {
        return comment;
    }

    /** Returns the answer's id, empty text if absent. */
    String id() {
        return chunk.path("id").asText("");
    }

    /** Returns the model that the engine says it is, empty text if absent. */
    String model() {
        return chunk.path("model").asText("");
    }

    /** Returns how many choices end in this event. */
    int finishedChoices() {
        int finished = 0;
        for (JsonNode choice : chunk.get("choices")) {
            finished += choice.path("finish_reason").isTextual() ? 1 : 0;
        }
        return finished;
    }

    /** Returns whether some choice's text goes on in this event. */
    boolean hasContent() {
        for (JsonNode choice : chunk.get("choices")) {
            if (!choice.path("delta").path("content").asText("").isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the event carries usage and nothing else. */
    boolean isUsageOnly() {
        return chunk.get("choices").isEmpty() && chunk.path("usage").isObject();
    }

    /** Returns the generated tokens that the event's usage counts, or -1 without usage. */
    long completionTokens() {
        return chunk.path("usage").path("completion_tokens").asLong(-1);
    }
}
