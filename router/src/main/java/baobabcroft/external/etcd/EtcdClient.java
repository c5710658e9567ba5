package baobabcroft.external.etcd;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * HTTP client of the key-value service, with failover between several addresses. Thread-safe.
 *
 * <p>Calls start at a preferred address, which moves on to the next one when it cannot be reached, times out, or fails
 * a repeatable call. A call that was not sent is retried at the next address, and so is a repeatable call whose
 * response was lost, unless it timed out.
 */
final class EtcdClient implements AutoCloseable {
    private static final int THREADS = 4;

    private final ImmutableList<URI> urls;
    private final long timeoutMillis;
    private final Scheduler scheduler;
    private final ExecutorService executor;
    private final HttpClient http;
    private final AtomicInteger preferredIndex = new AtomicInteger();
    private volatile boolean closed;

    EtcdClient(List<URI> urls, long timeoutMillis, Scheduler scheduler) {
        checkArgument(!urls.isEmpty(), "urls must not be empty");
        checkArgument(timeoutMillis > 1, "timeoutMillis must be at least 2, was %s", timeoutMillis);
        this.urls = ImmutableList.copyOf(urls);
        this.timeoutMillis = timeoutMillis;
        this.scheduler = checkNotNull(scheduler);
        this.executor = Executors.newFixedThreadPool(
                THREADS,
                new ThreadFactoryBuilder()
                        .setNameFormat("etcd-%d")
                        .setDaemon(true)
                        .build());
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(timeoutMillis / 2))
                .executor(executor)
                .build();
    }

    ExecutorService executor() {
        return executor;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    boolean isClosed() {
        return closed;
    }

    /**
     * Sends a call that must not be repeated. It is retried at other addresses only while it was certainly not sent.
     *
     * @param path path of the method
     * @param request the request message
     * @param responseType type of the response message
     * @return the outcome; never completes exceptionally
     */
    <T> CompletableFuture<CallResult<T>> callOnce(String path, Object request, Class<T> responseType) {
        return attempt(new Call<>(path, EtcdJson.write(request), responseType, false), 0);
    }

    /** Sends an idempotent call to each address in turn until one responds. */
    <T> CompletableFuture<CallResult<T>> callRepeatable(String path, Object request, Class<T> responseType) {
        return attempt(new Call<>(path, EtcdJson.write(request), responseType, true), 0);
    }

    private record Call<T>(String path, String body, Class<T> responseType, boolean repeatable) {}

    private <T> CompletableFuture<CallResult<T>> attempt(Call<T> call, int attempts) {
        if (closed) {
            return CompletableFuture.completedFuture(new CallResult.NotSent<>("the client is closed", false));
        }
        int index = preferredIndex.get();
        return send(call, urls.get(index)).thenCompose(result -> {
            if (!shouldTryNextAddress(call, result)) {
                return CompletableFuture.completedFuture(result);
            }
            preferAddressAfter(index);
            return attempts + 1 < urls.size() ? attempt(call, attempts + 1) : CompletableFuture.completedFuture(result);
        });
    }

    private static <T> boolean shouldTryNextAddress(Call<T> call, CallResult<T> result) {
        if (result instanceof CallResult.NotSent<T> notSent) {
            return !notSent.timedOut();
        }
        return call.repeatable() && result instanceof CallResult.ResponseLost<T> lost && !lost.timedOut();
    }

    private void preferAddressAfter(int index) {
        preferredIndex.compareAndSet(index, (index + 1) % urls.size());
    }

    private <T> CompletableFuture<CallResult<T>> send(Call<T> call, URI url) {
        CompletableFuture<HttpResponse<String>> exchange;
        Scheduler.Cancellable timer;
        try {
            exchange = http.sendAsync(request(url, call.path(), call.body()), BodyHandlers.ofString());
            timer = scheduler.schedule(timeoutMillis, () -> exchange.cancel(true));
        } catch (RejectedExecutionException e) {
            return CompletableFuture.completedFuture(new CallResult.ResponseLost<>("the client is stopping", false));
        }
        return exchange.handle((response, failure) -> {
            timer.cancel();
            CallResult<T> result =
                    failure == null ? resultOfResponse(response, call.responseType()) : resultOfFailure(failure);
            if (timedOut(result)) {
                preferAddressAfter(urls.indexOf(url));
            }
            return result;
        });
    }

    private static <T> boolean timedOut(CallResult<T> result) {
        return (result instanceof CallResult.ResponseLost<T> lost && lost.timedOut())
                || (result instanceof CallResult.NotSent<T> notSent && notSent.timedOut());
    }

    private static HttpRequest request(URI url, String path, String body) {
        return HttpRequest.newBuilder(url.resolve(path))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /**
     * Opens a streaming call. The returned exchange completes when the stream ends.
     *
     * @param path path of the method
     * @param message the request message
     * @param handler receives the response body
     * @return the exchange; cancelling it closes the stream
     */
    CompletableFuture<HttpResponse<Void>> stream(String path, Object message, HttpResponse.BodyHandler<Void> handler) {
        return http.sendAsync(request(urls.get(preferredIndex.get()), path, EtcdJson.write(message)), handler);
    }

    /** Makes the next call start at the address after the current one. */
    void preferNextAddress() {
        preferAddressAfter(preferredIndex.get());
    }

    private static <T> CallResult<T> resultOfResponse(HttpResponse<String> response, Class<T> responseType) {
        int status = response.statusCode();
        if (status >= 400 && status < 500) {
            return new CallResult.Rejected<>(status, reasonOf(response));
        }
        if (status != 200) {
            return new CallResult.ResponseLost<>("HTTP " + status + ": " + reasonOf(response), false);
        }
        try {
            return new CallResult.Success<>(EtcdJson.read(response.body(), responseType));
        } catch (JsonProcessingException e) {
            return new CallResult.ResponseLost<>("invalid response: " + e.getOriginalMessage(), false);
        }
    }

    private static String reasonOf(HttpResponse<String> response) {
        try {
            return EtcdJson.read(response.body(), EtcdMessages.Failure.class).message();
        } catch (JsonProcessingException e) {
            return "error body is not valid JSON";
        }
    }

    private static <T> CallResult<T> resultOfFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException) {
            return new CallResult.NotSent<>("connection refused", false);
        }
        if (cause instanceof HttpConnectTimeoutException) {
            return new CallResult.NotSent<>("connection timed out", true);
        }
        if (cause instanceof CancellationException) {
            return new CallResult.ResponseLost<>("response timed out", true);
        }
        return new CallResult.ResponseLost<>(String.valueOf(cause), false);
    }

    @Override
    public void close() {
        closed = true;
        executor.shutdown();
    }
}
