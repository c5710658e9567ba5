package baobabcroft.soak;

import baobabcroft.standin.platform.PlatformEndpointStandin;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Callers that keep connections open and send requests to random instances, whatever happens to these. */
final class Callers implements AutoCloseable {
    /** Time that a request allows, in milliseconds. */
    static final long TIMEOUT_MILLIS = 4_000;
    /** Time after that in which an answer still counts as given in time, in milliseconds. */
    private static final long MARGIN_MILLIS = 1_500;

    private static final long STEP_MILLIS = 5;
    private static final double BURST_FACTOR = 3;
    private static final Call.Route[] ROUTES = Call.Route.values();

    private final List<InstanceProcess> instances;
    private final UniformRandomProvider random;
    private final double requestsPerSecond;
    private final LongSupplier nowMillis;
    private final Consumer<Call> onEnded;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .executor(threads)
            .build();
    private volatile boolean burst;
    private long sent;

    Callers(
            List<InstanceProcess> instances,
            UniformRandomProvider random,
            double requestsPerSecond,
            LongSupplier nowMillis,
            Consumer<Call> onEnded) {
        this.instances = instances;
        this.random = random;
        this.requestsPerSecond = requestsPerSecond;
        this.nowMillis = nowMillis;
        this.onEnded = onEnded;
    }

    /** Waits until each instance serves a request. */
    void awaitInstances(long timeoutMillis) throws InterruptedException {
        long untilMillis = nowMillis.getAsLong() + timeoutMillis;
        for (int i = 0; i < instances.size(); i++) {
            while (!call(i, Call.Route.LOOKUP, "warm-" + i).join().isServed()) {
                if (!instances.get(i).isAlive() || nowMillis.getAsLong() > untilMillis) {
                    throw new SoakOptions.UsageException(
                            "instance-" + i + " does not start, perhaps as another program took a port; see its log");
                }
                Thread.sleep(100);
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // Runs until close.
    void start() {
        timer.scheduleAtFixedRate(this::step, STEP_MILLIS, STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    void setBurst(boolean isBurst) {
        burst = isBurst;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // It never fails, as failures are outcomes of calls.
    private void step() {
        double expected = requestsPerSecond * (burst ? BURST_FACTOR : 1) * STEP_MILLIS / 1_000;
        while (expected > 0) {
            if (random.nextDouble() < expected) {
                sent++;
                int instance = random.nextInt(instances.size());
                Call.Route route = ROUTES[random.nextInt(ROUTES.length)];
                call(instance, route, "r-" + sent).thenAccept(onEnded);
            }
            expected--;
        }
    }

    private CompletableFuture<Call> call(int instance, Call.Route route, String id) {
        String path = "/" + route.name().toLowerCase(Locale.ROOT) + "/" + id;
        URI uri = URI.create("http://127.0.0.1:" + instances.get(instance).callersPort() + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(TIMEOUT_MILLIS + MARGIN_MILLIS))
                .header("Baobabcroft-Request-Id", id)
                .header("Authorization", "Bearer " + Configuration.KEY)
                .POST(HttpRequest.BodyPublishers.ofString("question " + id))
                .build();
        long sentMillis = nowMillis.getAsLong();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .orTimeout(TIMEOUT_MILLIS + MARGIN_MILLIS, TimeUnit.MILLISECONDS)
                .handle((response, failure) -> {
                    long ended = nowMillis.getAsLong();
                    return failure == null
                            ? answered(id, route, instance, sentMillis, ended, response)
                            : failed(id, route, instance, sentMillis, ended, failure);
                });
    }

    private static Call answered(
            String id, Call.Route route, int instance, long sent, long ended, HttpResponse<String> response) {
        boolean sound = response.statusCode() != 200 || isWhole(route, response.body());
        return new Call(
                id,
                route,
                instance,
                sent,
                ended,
                OptionalInt.of(response.statusCode()),
                sound ? Call.Outcome.ANSWERED : Call.Outcome.SPOILT);
    }

    private static boolean isWhole(Call.Route route, String body) {
        return route == Call.Route.CHAT
                ? body.equals(PlatformEndpointStandin.wholeStream())
                : body.startsWith("answer of ");
    }

    private static Call failed(String id, Call.Route route, int instance, long sent, long ended, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean late = cause instanceof HttpTimeoutException || cause instanceof TimeoutException;
        return new Call(
                id,
                route,
                instance,
                sent,
                ended,
                OptionalInt.empty(),
                late ? Call.Outcome.TIMED_OUT : Call.Outcome.CONNECTION_FAILED);
    }

    /** Sends nothing more. */
    void stopSending() {
        timer.shutdownNow();
    }

    @Override
    public void close() {
        stopSending();
        threads.shutdownNow();
    }
}
