package baobabcroft.acceptance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Outcome of a request.
 *
 * @param status HTTP status, or 0 if no complete response was received
 * @param body the response body, or the cause of the failure if there was no complete response
 */
record Reply(int status, String body) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns whether no complete response was received. */
    boolean isLost() {
        return status == 0;
    }

    /** Returns whether the status is 200. */
    boolean isOk() {
        return status == 200;
    }

    /** Returns the execution status of a problem response, such as {@code not_run}, or an empty string. */
    String execution() {
        return member("execution");
    }

    /** Returns the error code of a problem response, or an empty string. */
    String code() {
        return member("code");
    }

    /** Returns a top-level member of the JSON body as text, or an empty string. */
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
