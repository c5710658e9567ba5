package baobabcroft.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** One server-sent event of a chat stream. Immutable. */
final class SseEvent {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DATA_PREFIX = "data:";
    private static final String DONE_PAYLOAD = "[DONE]";

    private final boolean done;
    private final boolean comment;
    private final JsonNode chunk;

    private SseEvent(boolean done, boolean comment, JsonNode chunk) {
        this.done = done;
        this.comment = comment;
        this.chunk = chunk;
    }

    /** Parses an event from its lines; returns empty if it is not a valid event of a chat stream. */
    static Optional<SseEvent> parse(String block) {
        StringBuilder data = new StringBuilder();
        for (String line : block.split("\r?\n", -1)) {
            if (line.startsWith(DATA_PREFIX)) {
                data.append(line, DATA_PREFIX.length(), line.length());
            }
        }
        String payload = data.toString().strip();
        if (payload.isEmpty()) {
            return Optional.of(new SseEvent(false, true, null));
        }
        if (payload.equals(DONE_PAYLOAD)) {
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
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    /** Returns whether this is the {@code [DONE]} event that ends the stream. */
    boolean isDone() {
        return done;
    }

    /** Returns whether this is a comment or keep-alive without data. */
    boolean isComment() {
        return comment;
    }

    /** Returns the id of the completion, or an empty string if absent. */
    String id() {
        return chunk.path("id").asText("");
    }

    /** Returns the model reported by the engine, or an empty string if absent. */
    String model() {
        return chunk.path("model").asText("");
    }

    /** Returns the number of choices that this event finishes. */
    int finishedChoices() {
        int finished = 0;
        for (JsonNode choice : chunk.get("choices")) {
            finished += choice.path("finish_reason").isTextual() ? 1 : 0;
        }
        return finished;
    }

    /** Returns whether the event adds text to any choice. */
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

    /** Returns the number of generated tokens from the event's usage, or -1 if it has no usage. */
    long completionTokens() {
        return chunk.path("usage").path("completion_tokens").asLong(-1);
    }
}
