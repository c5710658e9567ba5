package baobabcroft.acceptance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What a caller or an operator got.
 *
 * @param status status of the answer; zero if the connection ended without one
 * @param body the body, or the reason why there is none
 */
record Reply(int status, String body) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns whether no answer came. */
    boolean isLost() {
        return status == 0;
    }

    /** Returns whether the request was answered. */
    boolean isOk() {
        return status == 200;
    }

    /** Returns the verdict of a refusal, or an empty text. */
    String execution() {
        return member("execution");
    }

    /** Returns the code of a refusal, or an empty text. */
    String code() {
        return member("code");
    }

    /** Returns a member of the body, or an empty text. */
    String member(String name) {
        return json().path(name).asText("");
    }

    private JsonNode json() {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return JSON.createObjectNode();
        }
    }
}
