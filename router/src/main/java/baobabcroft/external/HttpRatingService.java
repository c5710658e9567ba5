package baobabcroft.external;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Client of the rating service: {@code POST /v1/ratings} with the JSON members {@code version}, {@code request_kind},
 * {@code request_digest} and {@code answer}; the member {@code score} of the response is the rating. Thread-safe.
 */
public final class HttpRatingService implements RatingService {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .build();
    private static final String PATH = "/v1/ratings";
    private static final int STATUS_OK = 200;
    private static final int STATUS_LIMITED = 429;

    private final HttpClient client;
    private final URI url;
    private final Duration timeout;

    private HttpRatingService(HttpClient client, URI url, Duration timeout) {
        this.client = client;
        this.url = url;
        this.timeout = timeout;
    }

    /**
     * Returns a client of the rating service at a URL.
     *
     * @param url the service's base address, such as {@code http://10.0.0.1:7303}
     * @param timeoutMillis connect and response timeout, in milliseconds
     * @return the client
     */
    public static HttpRatingService create(URI url, long timeoutMillis) {
        Duration timeout = Duration.ofMillis(timeoutMillis);
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
        return new HttpRatingService(client, checkNotNull(url).resolve(PATH), timeout);
    }

    @Override
    public CompletionStage<RatingResult> rate(RatingRequest request) {
        HttpRequest post = HttpRequest.newBuilder(url)
                .timeout(timeout)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(serialize(request)))
                .build();
        return client.sendAsync(post, HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> failure == null
                        ? resultOf(response)
                        : new RatingResult.Unavailable(String.valueOf(failure.getMessage())));
    }

    private static String serialize(RatingRequest request) {
        try {
            return JSON.writeValueAsString(request);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize the rating request for " + request.version(), e);
        }
    }

    private static RatingResult resultOf(HttpResponse<String> response) {
        if (response.statusCode() == STATUS_LIMITED) {
            return new RatingResult.Limited();
        }
        if (response.statusCode() != STATUS_OK) {
            return new RatingResult.Unavailable("status " + response.statusCode());
        }
        return parseScore(response.body());
    }

    private static RatingResult parseScore(String body) {
        try {
            JsonNode score = JSON.readTree(body).path("score");
            return score.isNumber() && score.asDouble() >= 0 && score.asDouble() <= 1
                    ? new RatingResult.Rated(score.asDouble())
                    : new RatingResult.Unavailable("response has no score from 0 to 1");
        } catch (JsonProcessingException e) {
            return new RatingResult.Unavailable("response is not valid JSON");
        }
    }
}
