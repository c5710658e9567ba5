package baobabcroft.standin.fault;

import baobabcroft.standin.http.Responses;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Whole answers that a fault has spoilt. */
public final class BrokenAnswers {
    private BrokenAnswers() {}

    /**
     * Returns an answer that is not JSON.
     *
     * @return the answer
     */
    public static HttpResponse garbage() {
        return Responses.json(200, "\u0000\u0001 not { an answer");
    }

    /**
     * Returns an internal error.
     *
     * @return the answer
     */
    public static HttpResponse error() {
        return Responses.json(500, "{\"error\":{\"message\":\"internal error\",\"type\":\"server_error\"}}");
    }

    /**
     * Returns the first half of an answer, as if it were whole.
     *
     * @param json the answer's body
     * @return the answer
     */
    public static HttpResponse half(String json) {
        return Responses.json(200, json.substring(0, json.length() / 2));
    }

    /**
     * Returns the first half of an answer, with the connection cut after it.
     *
     * @param json the answer's body
     * @return the answer
     */
    public static HttpResponse cutInTheMiddle(String json) {
        ByteString whole = ByteString.fromString(json);
        Source<ByteString, ?> half = Source.single(whole.take(whole.size() / 2))
                .concat(Source.failed(new IllegalStateException("cut by the stand-in")));
        return HttpResponse.create().withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, whole.size(), half));
    }
}
