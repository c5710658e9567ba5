package baobabcroft.chat;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** The body of a chat completion request, as sent by the caller. Immutable and thread-safe. */
public final class ChatBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PREFIX_LENGTH_CHARS = 512;
    private static final int CHARS_PER_TOKEN = 4;

    private final ObjectNode root;
    private final String model;
    private final String digest;

    private ChatBody(ObjectNode root, String model, String digest) {
        this.root = root;
        this.model = model;
        this.digest = digest;
    }

    /**
     * Parses a request body.
     *
     * @param bytes the body, JSON in UTF-8
     * @return the parsed body
     * @throws RouterException with {@code malformed_body} if the body is not a JSON object with a {@code model} and
     *     {@code messages}, or if {@code stream} or {@code n} is invalid
     */
    public static ChatBody parse(byte[] bytes) {
        JsonNode node = readTree(checkNotNull(bytes));
        if (!(node instanceof ObjectNode object)) {
            throw malformed("the body must be a JSON object");
        }
        if (!object.path("model").isTextual() || object.path("model").asText().isEmpty()) {
            throw malformed("the body must have a non-empty string member 'model'");
        }
        if (!object.path("messages").isArray() || object.path("messages").isEmpty()) {
            throw malformed("the body must have a non-empty array member 'messages'");
        }
        if (object.has("stream") && !object.get("stream").isBoolean()) {
            throw malformed("the member 'stream' must be true or false");
        }
        if (object.has("n") && !(object.get("n").isInt() && object.get("n").asInt() > 0)) {
            throw malformed("the member 'n' must be a positive integer");
        }
        String digest = Hashing.sha256().hashBytes(bytes).toString();
        return new ChatBody(object, object.get("model").asText(), digest);
    }

    private static JsonNode readTree(byte[] bytes) {
        try {
            return JSON.readTree(bytes);
        } catch (JsonProcessingException malformed) {
            throw malformed("the body is not valid JSON: " + malformed.getOriginalMessage());
        } catch (IOException unreadable) {
            throw malformed("the body could not be read: " + unreadable.getMessage());
        }
    }

    private static RouterException malformed(String message) {
        return RouterException.notRun(ErrorCode.MALFORMED_BODY, message);
    }

    /**
     * Returns the requested model, cascade or version.
     *
     * @return the name as sent by the caller
     */
    public String model() {
        return model;
    }

    /**
     * Returns whether the caller requests a streamed response.
     *
     * @return the member {@code stream}, false if absent
     */
    public boolean stream() {
        return root.path("stream").asBoolean(false);
    }

    /**
     * Returns the number of requested choices.
     *
     * @return the member {@code n}, 1 if absent
     */
    public int choices() {
        return root.path("n").asInt(1);
    }

    /**
     * Returns the caller's limit on generated tokens.
     *
     * @return the member {@code max_completion_tokens} or {@code max_tokens}, or empty if there is no positive one
     */
    public OptionalLong maxTokens() {
        long bound = root.path("max_completion_tokens")
                .asLong(root.path("max_tokens").asLong(0));
        return bound > 0 ? OptionalLong.of(bound) : OptionalLong.empty();
    }

    /**
     * Returns whether the caller requests a usage event at the end of a stream.
     *
     * @return the member {@code stream_options.include_usage}, false if absent
     */
    public boolean includeUsage() {
        return root.path("stream_options").path("include_usage").asBoolean(false);
    }

    /**
     * Returns the SHA-256 digest of the body as sent by the caller.
     *
     * @return the digest in lower-case hexadecimal
     */
    public String digest() {
        return digest;
    }

    /**
     * Returns an estimate of the number of prompt tokens.
     *
     * @return a quarter of the number of characters of {@code messages} in JSON
     */
    public long estimatedPromptTokens() {
        return root.get("messages").toString().length() / CHARS_PER_TOKEN;
    }

    /**
     * Returns a digest of the start of the conversation. Engines cache prompt prefixes.
     *
     * @return a 64-bit digest
     */
    public long prefixDigest() {
        String first = root.get("messages").get(0).toString();
        String prefix = first.substring(0, Math.min(first.length(), PREFIX_LENGTH_CHARS));
        return Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Returns the body to send to an engine: the caller's body with {@code model} set to the version and, for a
     * streamed response, with usage requested.
     *
     * @param version full name of the version
     * @return JSON in UTF-8
     */
    public byte[] toEngineJson(String version) {
        ObjectNode copy = root.deepCopy();
        copy.put("model", version);
        if (stream()) {
            copy.withObject("/stream_options").put("include_usage", true);
        }
        try {
            return JSON.writeValueAsBytes(copy);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
