package baobabcroft.standin.live;

import baobabcroft.external.LiveEntry;
import baobabcroft.standin.http.DelayedTasks;
import baobabcroft.standin.http.Exchange;
import baobabcroft.standin.http.HttpStandin;
import baobabcroft.standin.http.Responses;
import baobabcroft.standin.http.StandinJson;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stand-in for the live list, in the format of Prometheus HTTP service discovery. Changes become visible after a
 * configurable lag. Thread-safe.
 *
 * <p>Control paths: {@code POST /control/put?name=&role=&state=&failure_domain=&address=},
 * {@code /control/remove?name=}, {@code /control/lag?millis=}, {@code /control/unavailable} and {@code /control/up}.
 */
public final class LiveListStandin implements AutoCloseable {
    private final HttpStandin http;
    private final Map<String, LiveEntry> visibleEntries = new TreeMap<>();
    private boolean available = true;
    private long lagMillis;

    private LiveListStandin(int port) {
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts an empty list without lag.
     *
     * @param port the TCP port, or 0 to bind an ephemeral port
     * @return the running stand-in
     */
    public static LiveListStandin start(int port) {
        return new LiveListStandin(port);
    }

    private record Labels(String name, String role, String state, String failureDomain) {}

    private record TargetGroup(List<String> targets, Labels labels) {
        static TargetGroup of(LiveEntry entry) {
            Labels labels = new Labels(entry.name(), lower(entry.role()), lower(entry.state()), entry.failureDomain());
            return new TargetGroup(ImmutableList.of(entry.address().toString()), labels);
        }

        private static String lower(Enum<?> value) {
            return value.name().toLowerCase(Locale.ROOT);
        }
    }

    private CompletionStage<HttpResponse> handle(Exchange exchange) {
        return CompletableFuture.completedFuture(
                exchange.path().startsWith("/control/")
                        ? control(exchange.path().substring("/control/".length()), exchange)
                        : list());
    }

    private synchronized HttpResponse list() {
        return available
                ? Responses.json(
                        200,
                        StandinJson.write(visibleEntries.values().stream()
                                .map(TargetGroup::of)
                                .toList()))
                : Responses.json(503, "{}");
    }

    private HttpResponse control(String command, Exchange exchange) {
        switch (command) {
            case "put" -> put(entryOf(exchange));
            case "remove" -> remove(exchange.parameter("name").orElseThrow());
            case "lag" -> setLagMillis(exchange.longParameter("millis", 0));
            case "unavailable" -> setAvailable(false);
            case "up" -> setAvailable(true);
            default -> {
                return Responses.notFound();
            }
        }
        return Responses.done();
    }

    private static LiveEntry entryOf(Exchange exchange) {
        return new LiveEntry(
                exchange.parameter("name").orElseThrow(),
                LiveEntry.Role.valueOf(
                        exchange.parameter("role").orElse("instance").toUpperCase(Locale.ROOT)),
                LiveEntry.State.valueOf(
                        exchange.parameter("state").orElse("live").toUpperCase(Locale.ROOT)),
                exchange.parameter("failure_domain").orElseThrow(),
                HostAndPort.fromString(exchange.parameter("address").orElseThrow()));
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the TCP port on the loopback interface
     */
    public int port() {
        return http.port();
    }

    /**
     * Returns the list's URI.
     *
     * @return the URI from which clients fetch the list
     */
    public URI uri() {
        return URI.create("http://127.0.0.1:" + port() + "/");
    }

    /**
     * Adds or replaces an entry. The change becomes visible after the lag.
     *
     * @param entry the entry, identified by its name
     */
    public void put(LiveEntry entry) {
        afterLag(() -> visibleEntries.put(entry.name(), entry));
    }

    /**
     * Removes an entry. The change becomes visible after the lag.
     *
     * @param name the entry's name; ignored if there is no such entry
     */
    public void remove(String name) {
        afterLag(() -> visibleEntries.remove(name));
    }

    private synchronized void afterLag(Runnable change) {
        if (lagMillis == 0) {
            change.run();
            return;
        }
        DelayedTasks.run(lagMillis, () -> runLocked(change));
    }

    private synchronized void runLocked(Runnable change) {
        change.run();
    }

    /**
     * Sets the time after which later changes become visible.
     *
     * @param millis the lag, in milliseconds; 0 for none
     */
    public synchronized void setLagMillis(long millis) {
        lagMillis = millis;
    }

    /**
     * Sets whether the list is served.
     *
     * @param isAvailable true to serve the list, false to answer requests for it with 503
     */
    public synchronized void setAvailable(boolean isAvailable) {
        available = isAvailable;
    }

    @Override
    public void close() {
        http.close();
    }
}
