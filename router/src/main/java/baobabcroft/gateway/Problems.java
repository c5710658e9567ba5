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

/** Renders refusals and failures as RFC 9457 problem details. */
public final class Problems {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final ContentType PROBLEM_JSON = ContentTypes.create(
            MediaTypes.customWithFixedCharset("application", "problem+json", HttpCharsets.UTF_8, Map.of(), false));

    private Problems() {}

    /**
     * Returns the answer that tells a caller of a refusal.
     *
     * @param refusal the refusal
     * @return a response of type {@code application/problem+json}, with {@code Retry-After} where coming back makes
     *     sense
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
     * Returns the problem details of a refusal.
     *
     * @param refusal the refusal
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
     * Returns the error event that ends a stream which cannot be completed.
     *
     * @param failure the failure
     * @return a JSON object with the member {@code error}, as OpenAI-compatible clients expect it
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
     * Returns the refusal that stands for any failure.
     *
     * @param failure the failure
     * @return the router exception behind it, else {@code internal} with the verdict "may have run"
     */
    public static RouterException toRefusal(Throwable failure) {
        return RouterException.findIn(failure)
                .orElseGet(() -> RouterException.of(
                        ErrorCode.INTERNAL, Execution.MAY_HAVE_RUN, "unexpected fault of the router"));
    }

    private static long ceilToSeconds(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
