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
 * <p>Calls start at a preferred address, which moves on to the next one when it cannot be reached, times out, or fails a
 * repeatable call. A call that was not sent is retried at the next address, and so is a repeatable call whose response
 * was lost, unless it timed out.
 */
final class EtcdClient implements AutoCloseable {
    private static final int THREADS = 4;

    private final ImmutableList<URI> urls;
    private final long timeoutMillis;
    private final Scheduler scheduler;
    private final ExecutorService executor;
    private final HttpClient http;
    private final AtomicInteger preferred = new AtomicInteger();
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
     * @param answerType type of the response message
     * @return the outcome; never completes exceptionally
     */
    <T> CompletableFuture<Reply<T>> callOnce(String path, Object request, Class<T> answerType) {
        return attempt(new Call<>(path, EtcdJson.write(request), answerType, false), 0);
    }

    /** Sends an idempotent call to each address in turn until one responds. */
    <T> CompletableFuture<Reply<T>> callRepeatable(String path, Object request, Class<T> answerType) {
        return attempt(new Call<>(path, EtcdJson.write(request), answerType, true), 0);
    }

    private record Call<T>(String path, String body, Class<T> answerType, boolean repeatable) {}

    private <T> CompletableFuture<Reply<T>> attempt(Call<T> call, int attempts) {
        if (closed) {
            return CompletableFuture.completedFuture(new Reply.Unreached<>("the client is closed", false));
        }
        int index = preferred.get();
        return send(call, urls.get(index)).thenCompose(reply -> {
            if (!worthNextAddress(call, reply)) {
                return CompletableFuture.completedFuture(reply);
            }
            preferNextAfter(index);
            return attempts + 1 < urls.size() ? attempt(call, attempts + 1) : CompletableFuture.completedFuture(reply);
        });
    }

    private static <T> boolean worthNextAddress(Call<T> call, Reply<T> reply) {
        if (reply instanceof Reply.Unreached<T> unreached) {
            return !unreached.timedOut();
        }
        return call.repeatable() && reply instanceof Reply.Lost<T> lost && !lost.timedOut();
    }

    private void preferNextAfter(int index) {
        preferred.compareAndSet(index, (index + 1) % urls.size());
    }

    private <T> CompletableFuture<Reply<T>> send(Call<T> call, URI url) {
        CompletableFuture<HttpResponse<String>> exchange;
        Scheduler.Cancellable timer;
        try {
            exchange = http.sendAsync(request(url, call.path(), call.body()), BodyHandlers.ofString());
            timer = scheduler.schedule(timeoutMillis, () -> exchange.cancel(true));
        } catch (RejectedExecutionException e) {
            return CompletableFuture.completedFuture(new Reply.Lost<>("the client is stopping", false));
        }
        return exchange.handle((response, failure) -> {
            timer.cancel();
            Reply<T> reply = failure == null ? read(response, call.answerType()) : failed(failure);
            if (timedOut(reply)) {
                preferNextAfter(urls.indexOf(url));
            }
            return reply;
        });
    }

    private static <T> boolean timedOut(Reply<T> reply) {
        return (reply instanceof Reply.Lost<T> lost && lost.timedOut())
                || (reply instanceof Reply.Unreached<T> unreached && unreached.timedOut());
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
        return http.sendAsync(request(urls.get(preferred.get()), path, EtcdJson.write(message)), handler);
    }

    /** Makes the next call start at the address after the current one. */
    void preferNext() {
        preferNextAfter(preferred.get());
    }

    private static <T> Reply<T> read(HttpResponse<String> response, Class<T> answerType) {
        int status = response.statusCode();
        if (status >= 400 && status < 500) {
            return new Reply.Refused<>(status, reasonOf(response));
        }
        if (status != 200) {
            return new Reply.Lost<>("HTTP " + status + ": " + reasonOf(response), false);
        }
        try {
            return new Reply.Answered<>(EtcdJson.read(response.body(), answerType));
        } catch (JsonProcessingException e) {
            return new Reply.Lost<>("invalid response: " + e.getOriginalMessage(), false);
        }
    }

    private static String reasonOf(HttpResponse<String> response) {
        try {
            return EtcdJson.read(response.body(), EtcdMessages.Failure.class).message();
        } catch (JsonProcessingException e) {
            return "error body is not valid JSON";
        }
    }

    private static <T> Reply<T> failed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ConnectException) {
            return new Reply.Unreached<>("connection refused", false);
        }
        if (cause instanceof HttpConnectTimeoutException) {
            return new Reply.Unreached<>("connection timed out", true);
        }
        if (cause instanceof CancellationException) {
            return new Reply.Lost<>("response timed out", true);
        }
        return new Reply.Lost<>(String.valueOf(cause), false);
    }

    @Override
    public void close() {
        closed = true;
        executor.shutdown();
    }
}
