package baobabcroft.endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.endpoint.EndpointResult.Answered;
import baobabcroft.endpoint.EndpointResult.Failed;
import baobabcroft.endpoint.EndpointResult.Kind;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ConnectHttp;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.Uri;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.StreamTcpException;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Calls endpoints over HTTP/1.1.
 *
 * <p>Idempotent calls share pooled connections. Each non-idempotent call opens a new connection. This guarantees that
 * nothing was written if connecting fails, and that no request is sent on a connection that the endpoint is closing.
 * Thread-safe.
 */
public final class PekkoEndpointClient implements EndpointClient {
    private final ActorSystem<?> system;
    private final Http http;
    private final Scheduler scheduler;

    private PekkoEndpointClient(ActorSystem<?> system, Scheduler scheduler) {
        this.system = checkNotNull(system);
        this.http = Http.get(system);
        this.scheduler = checkNotNull(scheduler);
    }

    /**
     * Returns a client that runs on the given actor system.
     *
     * @param system the actor system that runs the connections
     * @param scheduler schedules the timeouts
     * @return the client
     */
    public static PekkoEndpointClient create(ActorSystem<?> system, Scheduler scheduler) {
        return new PekkoEndpointClient(system, scheduler);
    }

    @Override
    public CompletionStage<EndpointResult> send(EndpointCall call) {
        return call.idempotent() ? sendPooled(call) : sendOnNewConnection(call);
    }

    private CompletionStage<EndpointResult> sendPooled(EndpointCall call) {
        Uri relative = call.request().getUri();
        Uri absolute = relative.scheme("http")
                .host(call.address().getHost())
                .port(call.address().getPort());
        CompletionStage<HttpResponse> response =
                http.singleRequest(call.request().withUri(absolute));
        Runnable onTimeout = () -> response.thenAccept(lateResponse -> lateResponse.discardEntityBytes(system));
        return withTimeout(
                response.handle((httpResponse, failure) -> toResult(httpResponse, failure)),
                call.timeoutMillis(),
                onTimeout);
    }

    private CompletionStage<EndpointResult> sendOnNewConnection(EndpointCall call) {
        ConnectHttp target =
                ConnectHttp.toHost(call.address().getHost(), call.address().getPort());
        HttpRequest request = call.request();
        Pair<Pair<UniqueKillSwitch, CompletionStage<OutgoingConnection>>, CompletionStage<HttpResponse>> run =
                Source.single(request)
                        .viaMat(KillSwitches.single(), Keep.right())
                        .viaMat(http.outgoingConnection(target), Keep.both())
                        .toMat(Sink.head(), Keep.both())
                        .run(system);
        CompletionStage<Boolean> connected = run.first().second().handle((connection, failure) -> failure == null);
        CompletionStage<EndpointResult> result = run.second()
                .handle((httpResponse, failure) -> toResult(httpResponse, failure))
                .thenCombine(connected, PekkoEndpointClient::correctFailureKind);
        UniqueKillSwitch killSwitch = run.first().first();
        return withTimeout(
                result,
                call.timeoutMillis(),
                () -> killSwitch.abort(
                        new IllegalStateException("no response within " + call.timeoutMillis() + " ms")));
    }

    private static EndpointResult correctFailureKind(EndpointResult result, boolean connected) {
        if (result instanceof Failed failed && !connected) {
            return new Failed(Kind.NOT_CONNECTED, failed.reason());
        }
        return result;
    }

    private static EndpointResult toResult(HttpResponse httpResponse, Throwable failure) {
        if (failure == null) {
            return new Answered(httpResponse);
        }
        Kind kind = isConnectFailure(failure) ? Kind.NOT_CONNECTED : Kind.CONNECTION_LOST;
        return new Failed(kind, String.valueOf(failure.getMessage()));
    }

    private static boolean isConnectFailure(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException) {
                return true;
            }
            if (cause instanceof StreamTcpException && cause.getCause() instanceof ConnectException) {
                return true;
            }
        }
        return false;
    }

    private CompletionStage<EndpointResult> withTimeout(
            CompletionStage<EndpointResult> callResult, long timeoutMillis, Runnable onTimeout) {
        CompletableFuture<EndpointResult> result = new CompletableFuture<>();
        Scheduler.Cancellable timer = scheduler.schedule(timeoutMillis, () -> {
            if (result.complete(new Failed(Kind.TIMED_OUT, "no response within " + timeoutMillis + " ms"))) {
                onTimeout.run();
            }
        });
        callResult.thenAccept(value -> {
            timer.cancel();
            result.complete(value);
        });
        return result;
    }
}
