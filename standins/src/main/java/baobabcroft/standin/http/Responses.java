package baobabcroft.standin.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Responses common to several stand-ins. */
public final class Responses {
    private Responses() {}

    /**
     * Returns a response with a JSON body.
     *
     * @param status the HTTP status
     * @param json the body
     * @return the response
     */
    public static HttpResponse json(int status, String json) {
        return HttpResponse.create().withStatus(status).withEntity(ContentTypes.APPLICATION_JSON, json);
    }

    /**
     * Returns the response to a successful control request.
     *
     * @return a response with status 200 and an empty JSON object
     */
    public static HttpResponse done() {
        return json(200, "{}");
    }

    /**
     * Returns the response to a request for an unknown path.
     *
     * @return a response with status 404
     */
    public static HttpResponse notFound() {
        return json(404, "{\"error\":\"not found\"}");
    }

    /**
     * Returns a response that is never sent.
     *
     * @return a stage that never completes
     */
    public static CompletionStage<HttpResponse> never() {
        return new CompletableFuture<>();
    }

    /**
     * Aborts the connection instead of responding.
     *
     * @param exchange the request whose connection is aborted
     * @return a stage that never completes
     */
    public static CompletionStage<HttpResponse> abort(Exchange exchange) {
        exchange.connection().abort();
        return never();
    }
}
