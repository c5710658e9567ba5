package baobabcroft.standin.engine;

import baobabcroft.standin.fault.CorruptedResponses;
import baobabcroft.standin.fault.FaultKind;
import baobabcroft.standin.fault.FaultPlan;
import baobabcroft.standin.http.DelayedTasks;
import baobabcroft.standin.http.EndpointHeaders;
import baobabcroft.standin.http.Exchange;
import baobabcroft.standin.http.HttpStandin;
import baobabcroft.standin.http.Responses;
import baobabcroft.standin.http.StandinJson;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.util.concurrent.AtomicLongMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stand-in for a model engine with the chat completions API, non-streaming and streaming. Thread-safe.
 *
 * <p>Other paths: {@code GET /v1/models} and {@code GET /load}, whose report lags behind the actual load. Control
 * paths: those of {@link FaultPlan#control}, {@code slow?factor=}, {@code quality?version=&value=},
 * {@code refuse?millis=}, and {@code GET /control/counters} and {@code GET /control/runs}.
 */
public final class EngineStandin implements AutoCloseable {
    private static final double DEFAULT_QUALITY = 0.9;

    private final HttpStandin http;
    private final FaultPlan faults;
    private final EngineDriver driver;
    private final EngineSettings settings;
    private final ImmutableSortedSet<String> versions;
    private final long seed;
    private final Map<String, Double> qualities = new ConcurrentHashMap<>();
    private final AtomicLongMap<String> runsByRequest = AtomicLongMap.create();
    private final AtomicLongMap<String> runsByVersion = AtomicLongMap.create();

    private EngineStandin(int port, long seed, EngineSettings settings, Set<String> versions) {
        this.seed = seed;
        this.settings = settings;
        this.versions = ImmutableSortedSet.copyOf(versions);
        this.faults = FaultPlan.create(seed);
        this.driver = new EngineDriver(settings);
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts an idle engine.
     *
     * @param port the TCP port, or 0 to bind an ephemeral port
     * @param seed seed of the fault selection and of the answers
     * @param settings capacity and speed of the engine
     * @param versions the served versions, as {@code model@version}; empty to serve any version
     * @return the running stand-in
     */
    public static EngineStandin start(int port, long seed, EngineSettings settings, Set<String> versions) {
        return new EngineStandin(port, seed, settings, versions);
    }

    /**
     * Counters of the engine.
     *
     * @param runs number of accepted requests by version, including those hit by a fault before scheduling
     * @param running number of requests in the batch
     * @param waiting number of queued requests
     * @param cancelled number of requests cancelled because the client disconnected or a fault truncated the answer
     * @param cachedTokens number of prompt tokens served from the prefix cache
     * @param faults number of injected faults by kind
     */
    public record Counters(
            ImmutableMap<String, Long> runs,
            int running,
            int waiting,
            long cancelled,
            long cachedTokens,
            ImmutableMap<FaultKind, Long> faults) {}

    private CompletionStage<HttpResponse> handle(Exchange exchange) {
        String path = exchange.path();
        if (path.startsWith("/control/")) {
            return completed(control(path.substring("/control/".length()), exchange));
        }
        return switch (path) {
            case "/v1/chat/completions" -> chat(exchange);
            case "/v1/models" -> completed(Responses.json(200, StandinJson.write(ChatMessages.models(versions))));
            case "/load" -> completed(Responses.json(200, StandinJson.write(driver.reportedLoad())));
            default -> completed(Responses.notFound());
        };
    }

    private CompletionStage<HttpResponse> chat(Exchange exchange) {
        ChatMessages.Request request;
        try {
            request = StandinJson.read(exchange.body(), ChatMessages.Request.class);
        } catch (JsonProcessingException e) {
            return completed(errorResponse(400, "unreadable body"));
        }
        if (request.model() == null || (!versions.isEmpty() && !versions.contains(request.model()))) {
            return completed(errorResponse(404, "no such model"));
        }
        runsByVersion.incrementAndGet(request.model());
        exchange.header(EndpointHeaders.REQUEST_ID).ifPresent(runsByRequest::incrementAndGet);
        return run(exchange, request, faults.selectFault(exchange.body()));
    }

    private CompletionStage<HttpResponse> run(
            Exchange exchange, ChatMessages.Request request, Optional<FaultKind> fault) {
        if (fault.isPresent()) {
            switch (fault.get()) {
                case CRASH -> {
                    http.refuseConnectionsFor(faults.outageMillis());
                    return Responses.abort(exchange);
                }
                case HANG -> {
                    return Responses.never();
                }
                case ERROR -> {
                    return completed(CorruptedResponses.internalError());
                }
                default -> {
                    // The other faults take effect when the response is produced.
                }
            }
        }
        ChatExchange chat = new ChatExchange(exchange, request, answerTo(request), fault);
        long lateMillis = fault.filter(FaultKind.LATE::equals).isPresent() ? faults.lateMillis() : 0;
        return DelayedTasks.supply(lateMillis, () -> chat.run(driver, settings)).thenCompose(response -> response);
    }

    private AnswerText answerTo(ChatMessages.Request request) {
        double quality = qualities.getOrDefault(request.model(), DEFAULT_QUALITY);
        return AnswerText.of(seed, request.model(), request.prompt(), quality, ChatMessages.maxTokens(request));
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static HttpResponse errorResponse(int status, String message) {
        return Responses.json(
                status, "{\"error\":{\"message\":\"" + message + "\",\"type\":\"invalid_request_error\"}}");
    }

    private HttpResponse control(String command, Exchange exchange) {
        if (command.equals("reset")) {
            runsByRequest.clear();
            runsByVersion.clear();
            setSlowFactor(1);
        }
        if (faults.control(command, exchange)) {
            return Responses.done();
        }
        switch (command) {
            case "counters" -> {
                return Responses.json(200, StandinJson.write(counters()));
            }
            case "runs" -> {
                return Responses.json(200, StandinJson.write(runsByRequest.asMap()));
            }
            case "slow" -> setSlowFactor(exchange.doubleParameter("factor", 1));
            case "quality" ->
                setQuality(
                        exchange.parameter("version").orElse(""), exchange.doubleParameter("value", DEFAULT_QUALITY));
            case "refuse" -> http.refuseConnectionsFor(exchange.longParameter("millis", faults.outageMillis()));
            default -> {
                return Responses.notFound();
            }
        }
        return Responses.done();
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
     * Returns the fault plan, through which faults are configured.
     *
     * @return the active plan
     */
    public FaultPlan faults() {
        return faults;
    }

    /**
     * Returns the HTTP server, for aborting and refusing connections.
     *
     * @return the server
     */
    public HttpStandin http() {
        return http;
    }

    /**
     * Sets the slowdown factor of all later work.
     *
     * @param factor positive multiplier of processing times; 1 for normal speed, 2 for half speed
     */
    public void setSlowFactor(double factor) {
        driver.setSlowFactor(factor);
    }

    /**
     * Sets the answer quality of a version.
     *
     * @param version the version, as {@code model@version}
     * @param quality mean score of its answers, from 0 to 1
     */
    public void setQuality(String version, double quality) {
        qualities.put(version, quality);
    }

    /**
     * Returns how often a request was accepted, including runs that ended in a fault.
     *
     * @param requestId value of the request-identifier header
     * @return the number of runs
     */
    public long runsOf(String requestId) {
        return runsByRequest.get(requestId);
    }

    /**
     * Returns the counters since the start or the last reset.
     *
     * @return a snapshot of the counters
     */
    public Counters counters() {
        EngineLoad load = driver.load();
        return new Counters(
                ImmutableMap.copyOf(runsByVersion.asMap()),
                load.running(),
                load.waiting(),
                driver.cancelledCount(),
                driver.cachedTokenCount(),
                faults.injectedCounts());
    }

    @Override
    public void close() {
        http.close();
    }
}
