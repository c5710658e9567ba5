package baobabcroft.standin.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Responses that several stand-ins give. */
public final class Responses {
    private Responses() {}

    /**
     * Returns a response of JSON.
     *
     * @param status the HTTP status
     * @param json the body
     * @return the response
     */
    public static HttpResponse json(int status, String json) {
        return HttpResponse.create().withStatus(status).withEntity(ContentTypes.APPLICATION_JSON, json);
    }

    /**
     * Returns the response to a control request that was carried out.
     *
     * @return the response
     */
    public static HttpResponse done() {
        return json(200, "{}");
    }

    /**
     * Returns the response to a path that names nothing.
     *
     * @return the response
     */
    public static HttpResponse notFound() {
        return json(404, "{\"error\":\"not found\"}");
    }

    /**
     * Returns a response that never comes.
     *
     * @return a stage that does not complete
     */
    public static CompletionStage<HttpResponse> never() {
        return new CompletableFuture<>();
    }

    /**
     * Cuts the connection in place of a response.
     *
     * @param exchange the request
     * @return a stage that does not complete
     */
    public static CompletionStage<HttpResponse> cut(Exchange exchange) {
        exchange.connection().abort();
        return never();
    }
}
