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

/** A listening HTTP address. */
final class HttpBinding {
    private final ServerBinding binding;

    private HttpBinding(ServerBinding binding) {
        this.binding = binding;
    }

    /** Returns a binding once it listens; fails if the address cannot be bound. */
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

    /** Returns the address that it listens on. */
    String address() {
        return binding.localAddress().getAddress().getHostAddress() + ":"
                + binding.localAddress().getPort();
    }

    /** Stops listening, lets open responses end within the time and closes the connections. */
    CompletionStage<Done> stop(long timeoutMillis) {
        return binding.terminate(Duration.ofMillis(timeoutMillis)).thenApply(terminated -> Done.done());
    }
}
