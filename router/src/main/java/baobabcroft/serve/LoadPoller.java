package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.EndpointPool;
import baobabcroft.balance.LoadReport;
import baobabcroft.common.Scheduler;
import baobabcroft.config.AppliedConfig;
import baobabcroft.config.ConfigNode;
import baobabcroft.endpoint.EndpointCall;
import baobabcroft.endpoint.EndpointClient;
import baobabcroft.endpoint.EndpointResult;
import baobabcroft.rules.EndpointRule;
import baobabcroft.rules.RuleSet;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ticker;
import java.io.IOException;
import java.util.Optional;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Polls the load of the model engines in this instance's region.
 *
 * <p>An engine answers {@code GET /load} with the JSON members {@code running} and {@code waiting}, or with {@code
 * server_load} alone. For an engine that reports no load, only this instance's own requests are counted. Thread-safe.
 */
final class LoadPoller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 500;
    private static final int STATUS_OK = 200;

    private final ConfigNode node;
    private final EndpointPool pool;
    private final EndpointClient client;
    private final String region;
    private final Scheduler scheduler;
    private final Ticker ticker;
    private final ActorSystem<?> system;

    LoadPoller(
            ConfigNode node,
            EndpointPool pool,
            EndpointClient client,
            String region,
            Scheduler scheduler,
            Ticker ticker,
            ActorSystem<?> system) {
        this.node = checkNotNull(node);
        this.pool = checkNotNull(pool);
        this.client = checkNotNull(client);
        this.region = checkNotNull(region);
        this.scheduler = checkNotNull(scheduler);
        this.ticker = checkNotNull(ticker);
        this.system = checkNotNull(system);
    }

    /** Polls all engines once and schedules the next poll. */
    void start() {
        node.current().map(AppliedConfig::rules).ifPresent(this::pollAll);
        scheduler.schedule(INTERVAL_MILLIS, this::start);
    }

    private void pollAll(RuleSet rules) {
        Optional<String> own = Optional.of(region);
        rules.endpoints().values().stream()
                .filter(endpoint -> endpoint.service().isEmpty())
                .filter(endpoint -> rules.regionOf(endpoint.failureDomain()).equals(own))
                .forEach(this::poll);
    }

    private void poll(EndpointRule endpoint) {
        long sentNanos = ticker.read();
        client.send(new EndpointCall(endpoint.address(), HttpRequest.GET("/load"), true, TIMEOUT_MILLIS))
                .thenAccept(reply -> {
                    if (reply instanceof EndpointResult.Answered answered) {
                        handleResponse(endpoint, answered.response(), sentNanos);
                    }
                });
    }

    private void handleResponse(EndpointRule endpoint, HttpResponse response, long sentNanos) {
        if (response.status().intValue() != STATUS_OK) {
            response.discardEntityBytes(system);
            return;
        }
        response.entity().toStrict(TIMEOUT_MILLIS, system).thenAccept(strict -> parse(
                        strict.getData().toArray(), sentNanos)
                .ifPresent(report -> pool.recordLoad(endpoint.name(), report)));
    }

    /** Returns the load report in a response body, or empty if the body is malformed or a count is negative. */
    static Optional<LoadReport> parse(byte[] body, long takenAtNanos) {
        try {
            JsonNode load = JSON.readTree(body);
            int running = load.path("running").asInt(load.path("server_load").asInt(-1));
            int waiting = load.path("waiting").asInt(0);
            return running < 0 || waiting < 0
                    ? Optional.empty()
                    : Optional.of(new LoadReport(running, waiting, takenAtNanos));
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }
}
