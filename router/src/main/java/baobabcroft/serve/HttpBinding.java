package baobabcroft.serve;

import baobabcroft.common.Scheduler;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.japi.function.Function;

/** An HTTP server socket that is bound and accepts connections. */
final class HttpBinding {
    private static final long CLOSE_CHECK_INTERVAL_MILLIS = 10;

    private final ServerBinding binding;
    private final AcceptedSockets sockets;
    private final Scheduler scheduler;

    private HttpBinding(ServerBinding binding, AcceptedSockets sockets, Scheduler scheduler) {
        this.binding = binding;
        this.sockets = sockets;
        this.scheduler = scheduler;
    }

    /** Returns a stage that completes when the socket is listening, or fails if the address cannot be bound. */
    static CompletionStage<HttpBinding> bind(
            HostAndPort address,
            int maxHeaderBytes,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            ActorSystem<?> system,
            Scheduler scheduler) {
        AcceptedSockets sockets = new AcceptedSockets();
        ServerSettings defaults = ServerSettings.create(Adapter.toClassic(system));
        ServerSettings settings = defaults.withParserSettings(
                        defaults.getParserSettings().withMaxHeaderValueLength(maxHeaderBytes))
                .withSocketOptions(Iterables.concat(defaults.getSocketOptions(), ImmutableList.of(sockets)));
        return Http.get(system)
                .newServerAt(address.getHost(), address.getPort())
                .withSettings(settings)
                .bind(handler)
                .thenApply(binding -> new HttpBinding(binding, sockets, scheduler));
    }

    /** Returns the local address as {@code host:port}, with the port that was actually bound. */
    String address() {
        return binding.localAddress().getAddress().getHostAddress() + ":"
                + binding.localAddress().getPort();
    }

    /**
     * Stops accepting connections, waits for open responses and until they are written, then closes all connections.
     *
     * @param timeoutMillis time after which open responses are cut off, and for which unwritten ones are waited for
     */
    CompletionStage<Void> stop(long timeoutMillis) {
        CompletableFuture<Void> written = new CompletableFuture<>();
        return binding.terminate(Duration.ofMillis(timeoutMillis)).thenCompose(terminated -> {
            completeWhenClosed(written, timeoutMillis / CLOSE_CHECK_INTERVAL_MILLIS);
            return written;
        });
    }

    /** The HTTP layer has ended once the last bytes are handed to the connections, which may not have written them. */
    private void completeWhenClosed(CompletableFuture<Void> closed, long checksLeft) {
        if (checksLeft <= 0 || !sockets.anyOpen()) {
            closed.complete(null);
            return;
        }
        scheduler.schedule(CLOSE_CHECK_INTERVAL_MILLIS, () -> completeWhenClosed(closed, checksLeft - 1));
    }
}
