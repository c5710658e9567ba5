package baobabcroft.standin.service;

import baobabcroft.standin.fault.CorruptedResponses;
import baobabcroft.standin.fault.FaultKind;
import baobabcroft.standin.fault.FaultPlan;
import baobabcroft.standin.http.DelayedTasks;
import baobabcroft.standin.http.EndpointHeaders;
import baobabcroft.standin.http.Exchange;
import baobabcroft.standin.http.HttpStandin;
import baobabcroft.standin.http.Responses;
import baobabcroft.standin.http.StandinJson;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import com.google.common.util.concurrent.AtomicLongMap;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Stand-in for a plain service. It accepts any operation path and counts runs by idempotency key and by request
 * identifier. A run counts even if a fault prevents its response. Thread-safe.
 *
 * <p>Control paths: those of {@link FaultPlan#control}, {@code service-time?millis=}, {@code refuse?millis=},
 * {@code check-fencing?on=}, and {@code GET /control/counters} and {@code GET /control/runs}.
 */
public final class ServiceStandin implements AutoCloseable {
    private final HttpStandin http;
    private final FaultPlan faults;
    private final long seed;
    private final AtomicLongMap<String> runsByKey = AtomicLongMap.create();
    private final AtomicLongMap<String> runsByRequest = AtomicLongMap.create();
    private final AtomicLong runs = new AtomicLong();
    private final AtomicLong fenced = new AtomicLong();
    private final AtomicLong highestFencingToken = new AtomicLong(Long.MIN_VALUE);
    private volatile long serviceMillis;
    private volatile boolean checksFencing;

    private ServiceStandin(int port, long seed) {
        this.seed = seed;
        this.faults = FaultPlan.create(seed);
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts a service that responds without delay and does not check fencing tokens.
     *
     * @param port the TCP port, or 0 to bind an ephemeral port
     * @param seed seed of the fault selection and of the receipts
     * @return the running stand-in
     */
    public static ServiceStandin start(int port, long seed) {
        return new ServiceStandin(port, seed);
    }

    /**
     * Numbers of runs.
     *
     * @param byIdempotencyKey number of runs by idempotency key
     * @param byRequestId number of runs by request identifier
     */
    public record Runs(ImmutableMap<String, Long> byIdempotencyKey, ImmutableMap<String, Long> byRequestId) {}

    /**
     * Counters of the service.
     *
     * @param runs number of operations run
     * @param fenced number of requests rejected because of a stale fencing token
     * @param faults number of injected faults by kind
     */
    public record Counters(long runs, long fenced, ImmutableMap<FaultKind, Long> faults) {}

    /**
     * Response body of an operation.
     *
     * @param operation the request path without the leading slash
     * @param receipt digest of the seed, the operation and the request body
     * @param run number of runs so far with this idempotency key, or of all runs if the request has none
     */
    public record Receipt(String operation, String receipt, long run) {}

    private CompletionStage<HttpResponse> handle(Exchange exchange) {
        if (exchange.path().startsWith("/control/")) {
            return CompletableFuture.completedFuture(
                    control(exchange.path().substring("/control/".length()), exchange));
        }
        if (isFenced(exchange)) {
            fenced.incrementAndGet();
            return CompletableFuture.completedFuture(
                    withRequestId(exchange, Responses.json(412, "{\"error\":\"old fencing number\"}")));
        }
        Optional<FaultKind> fault = faults.selectFault(exchange.body());
        String receipt = StandinJson.write(run(exchange));
        long lateMillis = fault.filter(FaultKind.LATE::equals).isPresent() ? faults.lateMillis() : 0;
        return DelayedTasks.supply(serviceMillis + lateMillis, () -> answer(exchange, fault, receipt))
                .thenCompose(response -> response);
    }

    private boolean isFenced(Exchange exchange) {
        Optional<Long> number = exchange.header(EndpointHeaders.FENCING).map(Long::valueOf);
        if (!checksFencing || number.isEmpty()) {
            return false;
        }
        return highestFencingToken.accumulateAndGet(number.get(), Math::max) > number.get();
    }

    private Receipt run(Exchange exchange) {
        long total = runs.incrementAndGet();
        exchange.header(EndpointHeaders.REQUEST_ID).ifPresent(runsByRequest::incrementAndGet);
        long run = exchange.header(EndpointHeaders.IDEMPOTENCY_KEY)
                .map(runsByKey::incrementAndGet)
                .orElse(total);
        String operation = String.join("/", exchange.segments());
        String text = seed + "/" + operation + "/" + exchange.body();
        String digest =
                Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
        return new Receipt(operation, digest, run);
    }

    private CompletionStage<HttpResponse> answer(Exchange exchange, Optional<FaultKind> fault, String receipt) {
        if (fault.isEmpty()) {
            return CompletableFuture.completedFuture(withRequestId(exchange, Responses.json(200, receipt)));
        }
        return switch (fault.get()) {
            case CRASH -> crash(exchange);
            case HANG -> Responses.never();
            case DIE_MID_ANSWER -> completed(withRequestId(exchange, CorruptedResponses.abortedMidBody(receipt)));
            case GARBAGE -> completed(withRequestId(exchange, CorruptedResponses.malformed()));
            case HALF_ANSWER -> completed(withRequestId(exchange, CorruptedResponses.truncated(receipt)));
            case WRONG_ID ->
                completed(Responses.json(200, receipt)
                        .addHeader(RawHeader.create(EndpointHeaders.REQUEST_ID, "another-request")));
            case LATE -> completed(withRequestId(exchange, Responses.json(200, receipt)));
            case ERROR -> completed(withRequestId(exchange, CorruptedResponses.internalError()));
        };
    }

    private CompletionStage<HttpResponse> crash(Exchange exchange) {
        http.refuseConnectionsFor(faults.outageMillis());
        return Responses.abort(exchange);
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static HttpResponse withRequestId(Exchange exchange, HttpResponse response) {
        return exchange.header(EndpointHeaders.REQUEST_ID)
                .map(id -> response.addHeader(RawHeader.create(EndpointHeaders.REQUEST_ID, id)))
                .orElse(response);
    }

    private HttpResponse control(String command, Exchange exchange) {
        if (command.equals("reset")) {
            resetCounts();
        }
        if (faults.control(command, exchange)) {
            return Responses.done();
        }
        return switch (command) {
            case "counters" -> Responses.json(200, StandinJson.write(counters()));
            case "runs" -> Responses.json(200, StandinJson.write(runs()));
            case "service-time" -> {
                setServiceMillis(exchange.longParameter("millis", 0));
                yield Responses.done();
            }
            case "check-fencing" -> {
                setChecksFencing(exchange.parameter("on").map(Boolean::valueOf).orElse(true));
                yield Responses.done();
            }
            case "refuse" -> {
                http.refuseConnectionsFor(exchange.longParameter("millis", faults.outageMillis()));
                yield Responses.done();
            }
            default -> Responses.notFound();
        };
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
     * Sets the processing time of each operation.
     *
     * @param millis the processing time, in milliseconds
     */
    public void setServiceMillis(long millis) {
        serviceMillis = millis;
    }

    /**
     * Sets whether the service rejects, with status 412, a request whose fencing token is lower than the highest seen.
     *
     * @param checks whether fencing tokens are checked
     */
    public void setChecksFencing(boolean checks) {
        checksFencing = checks;
    }

    /**
     * Returns the number of runs with an idempotency key.
     *
     * @param idempotencyKey the key, as received by the service
     * @return the number of runs
     */
    public long runsOf(String idempotencyKey) {
        return runsByKey.get(idempotencyKey);
    }

    /**
     * Returns the numbers of runs by idempotency key and by request identifier.
     *
     * @return a snapshot of the numbers
     */
    public Runs runs() {
        return new Runs(ImmutableMap.copyOf(runsByKey.asMap()), ImmutableMap.copyOf(runsByRequest.asMap()));
    }

    /**
     * Returns the counters since the start or the last reset.
     *
     * @return a snapshot of the counters
     */
    public Counters counters() {
        return new Counters(runs.get(), fenced.get(), faults.injectedCounts());
    }

    private void resetCounts() {
        runsByKey.clear();
        runsByRequest.clear();
        runs.set(0);
        fenced.set(0);
        highestFencingToken.set(Long.MIN_VALUE);
    }

    @Override
    public void close() {
        http.close();
    }
}
