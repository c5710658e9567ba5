package baobabcroft.external;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletionStage;

/**
 * Reads the live list in the format of Prometheus HTTP service discovery.
 *
 * <p>Each target group has the labels {@code name}, {@code role} ({@code instance} or {@code endpoint}), {@code state}
 * ({@code live} or {@code leaving}) and {@code failure_domain}, and one target. A list with one invalid entry is
 * rejected as a whole, so that no live instance is treated as absent. Thread-safe.
 */
public final class HttpLiveList implements LiveList {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_OK = 200;

    private final HttpClient client;
    private final HttpRequest request;

    private HttpLiveList(HttpClient client, HttpRequest request) {
        this.client = client;
        this.request = request;
    }

    /**
     * Returns a live list that is fetched from a URL.
     *
     * @param url the URL that serves the target groups
     * @param timeoutMillis connect and response timeout, in milliseconds
     * @return a live list that does not cache
     */
    public static HttpLiveList create(URI url, long timeoutMillis) {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(timeoutMillis))
                .build();
        HttpRequest request = HttpRequest.newBuilder(checkNotNull(url))
                .timeout(Duration.ofMillis(timeoutMillis))
                .build();
        return new HttpLiveList(client, request);
    }

    @Override
    public CompletionStage<LiveListResult> fetch() {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle((response, failure) -> {
            if (failure != null) {
                return new LiveListResult.Unavailable(String.valueOf(failure.getMessage()));
            }
            if (response.statusCode() != STATUS_OK) {
                return new LiveListResult.Unavailable("status " + response.statusCode());
            }
            return parse(response.body());
        });
    }

    /** Returns the list in a response body, or {@code Unavailable} if any part of it is invalid. */
    static LiveListResult parse(String body) {
        ImmutableList.Builder<LiveEntry> entries = ImmutableList.builder();
        try {
            for (JsonNode group : JSON.readTree(body)) {
                entries.add(parseEntry(group));
            }
        } catch (JsonProcessingException | IllegalArgumentException faulty) {
            return new LiveListResult.Unavailable("invalid live list: " + faulty.getMessage());
        }
        return new LiveListResult.Listed(entries.build());
    }

    private static LiveEntry parseEntry(JsonNode group) {
        JsonNode labels = group.path("labels");
        return new LiveEntry(
                labels.path("name").asText(),
                LiveEntry.Role.valueOf(labels.path("role").asText().toUpperCase(Locale.ROOT)),
                LiveEntry.State.valueOf(labels.path("state").asText().toUpperCase(Locale.ROOT)),
                labels.path("failure_domain").asText(),
                HostAndPort.fromString(group.path("targets").path(0).asText()));
    }
}
