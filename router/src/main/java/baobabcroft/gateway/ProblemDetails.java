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
public final class ProblemDetails {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ContentType PROBLEM_JSON = ContentTypes.create(
            MediaTypes.customWithFixedCharset("application", "problem+json", HttpCharsets.UTF_8, Map.of(), false));

    private ProblemDetails() {}

    /**
     * Returns the HTTP response for an error.
     *
     * @param exception the error
     * @return a response of type {@code application/problem+json}, with a {@code Retry-After} header if the error has a
     *     retry delay
     */
    public static HttpResponse toResponse(RouterException exception) {
        HttpResponse response = HttpResponse.create()
                .withStatus(StatusCodes.get(exception.code().httpStatus()))
                .withEntity(HttpEntities.create(PROBLEM_JSON, ByteString.fromString(toJson(exception))));
        OptionalLong retryAfterMillis = exception.retryAfterMillis();
        if (retryAfterMillis.isEmpty()) {
            return response;
        }
        long seconds = Math.max(1, ceilToSeconds(retryAfterMillis.getAsLong()));
        return response.addHeader(RawHeader.create(Headers.RETRY_AFTER, Long.toString(seconds)));
    }

    /**
     * Returns the problem details of an error.
     *
     * @param exception the error
     * @return a JSON object
     */
    public static String toJson(RouterException exception) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("type", "urn:baobabcroft:problem:" + exception.code().code());
        problem.put("title", exception.code().code().replace('_', ' '));
        problem.put("status", exception.code().httpStatus());
        problem.put("code", exception.code().code());
        problem.put("detail", exception.getMessage());
        problem.put("execution", exception.execution().wireName());
        exception.retryAfterMillis().ifPresent(millis -> problem.put("retryAfterMillis", millis));
        return problem.toString();
    }

    /**
     * Returns the data of the error event that ends an incomplete stream.
     *
     * @param exception the error
     * @return a JSON object with the member {@code error}, in the format that OpenAI-compatible clients expect
     */
    public static String toStreamErrorJson(RouterException exception) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("message", exception.getMessage());
        error.put("type", "baobabcroft");
        error.put("code", exception.code().code());
        error.put("execution", exception.execution().wireName());
        return root.toString();
    }

    /**
     * Converts any failure to a {@link RouterException}.
     *
     * @param exception the failure
     * @return the router exception in its cause chain, or {@code internal} with execution status "may have run" if
     *     there is none
     */
    public static RouterException toRouterException(Throwable exception) {
        return RouterException.findIn(exception)
                .orElseGet(() -> RouterException.of(
                        ErrorCode.INTERNAL, Execution.MAY_HAVE_RUN, "unexpected internal error of the router"));
    }

    private static long ceilToSeconds(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
