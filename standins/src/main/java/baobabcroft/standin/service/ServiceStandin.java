package baobabcroft.standin.service;

import baobabcroft.standin.fault.BrokenAnswers;
import baobabcroft.standin.fault.FaultKind;
import baobabcroft.standin.fault.FaultPlan;
import baobabcroft.standin.http.EndpointHeaders;
import baobabcroft.standin.http.Exchange;
import baobabcroft.standin.http.HttpStandin;
import baobabcroft.standin.http.Later;
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
 * Stand-in of a plain service: runs whatever operation the path names, and counts the runs by idempotency key and by
 * request. A fault does not undo a run. Thread-safe.
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
    private final AtomicLong greatestFencing = new AtomicLong(Long.MIN_VALUE);
    private volatile long serviceMillis;
    private volatile boolean checksFencing;

    private ServiceStandin(int port, long seed) {
        this.seed = seed;
        this.faults = FaultPlan.create(seed);
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts a service that answers at once and checks no fencing numbers.
     *
     * @param port the port, or zero for any free one
     * @param seed seed of the faults' draws and of the answers
     * @return the running stand-in
     */
    public static ServiceStandin start(int port, long seed) {
        return new ServiceStandin(port, seed);
    }

    /**
     * Number of runs by one key.
     *
     * @param byIdempotencyKey runs by idempotency key
     * @param byRequestId runs by request identifier
     */
    public record Runs(ImmutableMap<String, Long> byIdempotencyKey, ImmutableMap<String, Long> byRequestId) {}

    /**
     * Counts of what has come.
     *
     * @param runs operations run
     * @param fenced orders refused for an old fencing number
     * @param faults requests struck by each fault
     */
    public record Counters(long runs, long fenced, ImmutableMap<FaultKind, Long> faults) {}

    /**
     * Answer of an operation.
     *
     * @param operation the operation
     * @param receipt text that depends on the seed, the operation and the body only
     * @param run how often the operation has run with this idempotency key, or at all without one
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
                    echo(exchange, Responses.json(412, "{\"error\":\"old fencing number\"}")));
        }
        Optional<FaultKind> fault = faults.draw(exchange.body());
        String receipt = StandinJson.write(run(exchange));
        long lateMillis = fault.filter(FaultKind.LATE::equals).isPresent() ? faults.lateMillis() : 0;
        return Later.supply(serviceMillis + lateMillis, () -> answer(exchange, fault, receipt))
                .thenCompose(response -> response);
    }

    private boolean isFenced(Exchange exchange) {
        Optional<Long> number = exchange.header(EndpointHeaders.FENCING).map(Long::valueOf);
        if (!checksFencing || number.isEmpty()) {
            return false;
        }
        return greatestFencing.accumulateAndGet(number.get(), Math::max) > number.get();
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
            return CompletableFuture.completedFuture(echo(exchange, Responses.json(200, receipt)));
        }
        return switch (fault.get()) {
            case CRASH -> crash(exchange);
            case HANG -> Responses.never();
            case DIE_MID_ANSWER -> completed(echo(exchange, BrokenAnswers.cutInTheMiddle(receipt)));
            case GARBAGE -> completed(echo(exchange, BrokenAnswers.garbage()));
            case HALF_ANSWER -> completed(echo(exchange, BrokenAnswers.half(receipt)));
            case WRONG_ID ->
                completed(Responses.json(200, receipt)
                        .addHeader(RawHeader.create(EndpointHeaders.REQUEST_ID, "another-request")));
            case LATE -> completed(echo(exchange, Responses.json(200, receipt)));
            case ERROR -> completed(echo(exchange, BrokenAnswers.error()));
        };
    }

    private CompletionStage<HttpResponse> crash(Exchange exchange) {
        http.refuseConnectionsFor(faults.outageMillis());
        return Responses.cut(exchange);
    }

    private static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static HttpResponse echo(Exchange exchange, HttpResponse response) {
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
                setServiceMillis(exchange.wholeNumber("millis", 0));
                yield Responses.done();
            }
            case "check-fencing" -> {
                setChecksFencing(exchange.parameter("on").map(Boolean::valueOf).orElse(true));
                yield Responses.done();
            }
            case "refuse" -> {
                http.refuseConnectionsFor(exchange.wholeNumber("millis", faults.outageMillis()));
                yield Responses.done();
            }
            default -> Responses.notFound();
        };
    }

    /**
     * Returns the port.
     *
     * @return the port
     */
    public int port() {
        return http.port();
    }

    /**
     * Returns the faults, to be set.
     *
     * @return the plan in force
     */
    public FaultPlan faults() {
        return faults;
    }

    /**
     * Returns the server, whose connections can be cut and refused.
     *
     * @return the server
     */
    public HttpStandin http() {
        return http;
    }

    /**
     * Sets how long each operation takes.
     *
     * @param millis the time, in milliseconds
     */
    public void setServiceMillis(long millis) {
        serviceMillis = millis;
    }

    /**
     * Sets whether orders with a fencing number lower than the greatest seen are refused with 412.
     *
     * @param checks whether they are
     */
    public void setChecksFencing(boolean checks) {
        checksFencing = checks;
    }

    /**
     * Returns how often an idempotency key ran.
     *
     * @param idempotencyKey the key
     * @return the count
     */
    public long runsOf(String idempotencyKey) {
        return runsByKey.get(idempotencyKey);
    }

    /**
     * Returns all counts of runs.
     *
     * @return the counts
     */
    public Runs runs() {
        return new Runs(ImmutableMap.copyOf(runsByKey.asMap()), ImmutableMap.copyOf(runsByRequest.asMap()));
    }

    /**
     * Returns the sums of what has come.
     *
     * @return the counts
     */
    public Counters counters() {
        return new Counters(runs.get(), fenced.get(), faults.struck());
    }

    private void resetCounts() {
        runsByKey.clear();
        runsByRequest.clear();
        runs.set(0);
        fenced.set(0);
        greatestFencing.set(Long.MIN_VALUE);
    }

    @Override
    public void close() {
        http.close();
    }
}
