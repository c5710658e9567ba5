package baobabcroft.serve;

import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;
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
    private final ServerBinding binding;

    private HttpBinding(ServerBinding binding) {
        this.binding = binding;
    }

    /** Returns a stage that completes when the socket is listening, or fails if the address cannot be bound. */
    static CompletionStage<HttpBinding> bind(
            HostAndPort address,
            int maxHeaderBytes,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler,
            ActorSystem<?> system) {
        ServerSettings defaults = ServerSettings.create(Adapter.toClassic(system));
        ServerSettings settings =
                defaults.withParserSettings(defaults.getParserSettings().withMaxHeaderValueLength(maxHeaderBytes));
        return Http.get(system)
                .newServerAt(address.getHost(), address.getPort())
                .withSettings(settings)
                .bind(handler)
                .thenApply(HttpBinding::new);
    }

    /** Returns the local address as {@code host:port}, with the port that was actually bound. */
    String address() {
        return binding.localAddress().getAddress().getHostAddress() + ":"
                + binding.localAddress().getPort();
    }

    /** Stops accepting connections, waits up to the timeout for open responses, then closes all connections. */
    CompletionStage<Done> stop(long timeoutMillis) {
        return binding.terminate(Duration.ofMillis(timeoutMillis)).thenApply(terminated -> Done.done());
    }
}
