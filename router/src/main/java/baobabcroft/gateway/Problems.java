package baobabcroft.gateway;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.OptionalLong;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpCharsets;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;

/** Converts errors to RFC 9457 problem details and to stream error events. */
public final class Problems {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ContentType PROBLEM_JSON = ContentTypes.create(
            MediaTypes.customWithFixedCharset("application", "problem+json", HttpCharsets.UTF_8, Map.of(), false));

    private Problems() {}

    /**
     * Returns the HTTP response for an error.
     *
     * @param refusal the error
     * @return a response of type {@code application/problem+json}, with a {@code Retry-After} header if the error has a
     *     retry delay
     */
    public static HttpResponse response(RouterException refusal) {
        HttpResponse response = HttpResponse.create()
                .withStatus(StatusCodes.get(refusal.code().httpStatus()))
                .withEntity(HttpEntities.create(PROBLEM_JSON, ByteString.fromString(json(refusal))));
        OptionalLong retryAfterMillis = refusal.retryAfterMillis();
        if (retryAfterMillis.isEmpty()) {
            return response;
        }
        long seconds = Math.max(1, ceilToSeconds(retryAfterMillis.getAsLong()));
        return response.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
    }

    /**
     * Returns the problem details of an error.
     *
     * @param refusal the error
     * @return a JSON object
     */
    public static String json(RouterException refusal) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("type", "urn:baobabcroft:problem:" + refusal.code().code());
        problem.put("title", refusal.code().code().replace('_', ' '));
        problem.put("status", refusal.code().httpStatus());
        problem.put("code", refusal.code().code());
        problem.put("detail", refusal.getMessage());
        problem.put("execution", refusal.execution().wireName());
        refusal.retryAfterMillis().ifPresent(millis -> problem.put("retryAfterMillis", millis));
        return problem.toString();
    }

    /**
     * Returns the data of the error event that ends an incomplete stream.
     *
     * @param failure the error
     * @return a JSON object with the member {@code error}, in the format that OpenAI-compatible clients expect
     */
    public static String streamErrorJson(RouterException failure) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("message", failure.getMessage());
        error.put("type", "baobabcroft");
        error.put("code", failure.code().code());
        error.put("execution", failure.execution().wireName());
        return root.toString();
    }

    /**
     * Converts any failure to a {@link RouterException}.
     *
     * @param failure the failure
     * @return the router exception in its cause chain, or {@code internal} with execution status "may have run" if there
     *     is none
     */
    public static RouterException toRefusal(Throwable failure) {
        return RouterException.findIn(failure)
                .orElseGet(() -> RouterException.of(
                        ErrorCode.INTERNAL, Execution.MAY_HAVE_RUN, "unexpected internal error of the router"));
    }

    private static long ceilToSeconds(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
