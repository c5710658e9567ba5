package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.metrics.RouterMetrics;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.japi.function.Function;

/** Request handler of the admin listener: serves {@code /metrics} and the administration API. Thread-safe. */
final class AdminServer {
    private final Function<HttpRequest, CompletionStage<HttpResponse>> routes;
    private final RouterMetrics metrics;

    AdminServer(Route routes, RouterMetrics metrics, ActorSystem<?> system) {
        this.routes = routes.function(checkNotNull(system));
        this.metrics = checkNotNull(metrics);
    }

    /** Returns the response to one request; paths other than {@code /metrics} go to the admin routes. */
    CompletionStage<HttpResponse> handle(HttpRequest request) throws Exception {
        if (request.getUri().path().equals("/metrics")) {
            return CompletableFuture.completedFuture(HttpResponse.create()
                    .withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, metrics.expose())));
        }
        return routes.apply(request);
    }
}
