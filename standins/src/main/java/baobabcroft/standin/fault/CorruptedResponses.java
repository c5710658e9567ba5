package baobabcroft.standin.fault;

import baobabcroft.standin.http.Responses;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Non-streaming responses corrupted by an injected fault. */
public final class CorruptedResponses {
    private CorruptedResponses() {}

    /**
     * Returns a response whose body is not valid JSON.
     *
     * @return a response with status 200
     */
    public static HttpResponse malformed() {
        return Responses.json(200, "\u0000\u0001 not { an answer");
    }

    /**
     * Returns an internal server error.
     *
     * @return a response with status 500
     */
    public static HttpResponse internalError() {
        return Responses.json(500, "{\"error\":{\"message\":\"internal error\",\"type\":\"server_error\"}}");
    }

    /**
     * Returns a response with the first half of a body, presented as complete.
     *
     * @param json the full body
     * @return a response whose content length matches the truncated body
     */
    public static HttpResponse truncated(String json) {
        return Responses.json(200, json.substring(0, json.length() / 2));
    }

    /**
     * Returns a response whose connection is aborted after the first half of the body.
     *
     * @param json the full body
     * @return a response whose content length is that of the full body
     */
    public static HttpResponse abortedMidBody(String json) {
        ByteString body = ByteString.fromString(json);
        Source<ByteString, ?> firstHalf = Source.single(body.take(body.size() / 2))
                .concat(Source.failed(new IllegalStateException("connection aborted by the stand-in")));
        return HttpResponse.create()
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, body.size(), firstHalf));
    }
}
