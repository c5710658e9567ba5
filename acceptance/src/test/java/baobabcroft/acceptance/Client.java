package baobabcroft.acceptance;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** HTTP client of the simulated callers and operators. Thread-safe. */
final class Client {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    /** Sends a request; the future never fails, but completes with a lost reply instead. */
    CompletableFuture<Reply> send(HttpRequest request) {
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) ->
                        failure == null ? new Reply(response.statusCode(), response.body()) : lost(failure));
    }

    /** Sends a request; the future completes when the response headers have arrived, or fails if they never do. */
    CompletableFuture<OpenStream> sendStreamed(HttpRequest request) {
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
                .thenApply(response -> new OpenStream(CompletableFuture.supplyAsync(() -> read(response))));
    }

    private static Reply read(HttpResponse<Stream<String>> response) {
        try (Stream<String> lines = response.body()) {
            return new Reply(response.statusCode(), lines.collect(Collectors.joining("\n")));
        } catch (UncheckedIOException e) {
            return lost(e);
        }
    }

    private static Reply lost(Throwable failure) {
        return new Reply(0, String.valueOf(failure));
    }

    /** Returns whether a GET request is answered with 200 within 5 s. */
    boolean isOk(URI uri) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(5)).build();
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a GET request with a bearer key. */
    static HttpRequest get(URI uri, String bearerKey) {
        return HttpRequest.newBuilder(uri)
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + bearerKey)
                .build();
    }

    /** Returns a POST request with a JSON body, a bearer key and further headers as alternating names and values. */
    static HttpRequest post(URI uri, String bearerKey, String json, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri)
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + bearerKey)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json, StandardCharsets.UTF_8));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }
}
