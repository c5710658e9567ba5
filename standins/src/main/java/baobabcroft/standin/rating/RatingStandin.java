package baobabcroft.standin.rating;

import baobabcroft.external.RatingRequest;
import baobabcroft.standin.engine.AnswerText;
import baobabcroft.standin.http.Exchange;
import baobabcroft.standin.http.HttpStandin;
import baobabcroft.standin.http.Responses;
import baobabcroft.standin.http.StandinJson;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.util.concurrent.RateLimiter;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stand-in for the rating service. It returns the score that an engine's stand-in embeds in its answer, or the quality
 * set for the version if the answer contains no score. Thread-safe.
 *
 * <p>Control paths: {@code POST /control/quality?version=&value=}, {@code /control/rate?per_second=},
 * {@code /control/unavailable}, {@code /control/up} and {@code GET /control/counters}.
 */
public final class RatingStandin implements AutoCloseable {
    private static final double DEFAULT_QUALITY = 0.9;
    private static final double DEFAULT_PER_SECOND = 50;

    private final HttpStandin http;
    private final RateLimiter limiter = RateLimiter.create(DEFAULT_PER_SECOND);
    private final Map<String, Double> qualities = new ConcurrentHashMap<>();
    private final AtomicLong rated = new AtomicLong();
    private final AtomicLong limited = new AtomicLong();
    private volatile boolean available = true;

    private RatingStandin(int port) {
        this.http = HttpStandin.start(port, this::handle);
    }

    /**
     * Starts a service that is limited to 50 ratings per second.
     *
     * @param port the TCP port, or 0 to bind an ephemeral port
     * @return the running stand-in
     */
    public static RatingStandin start(int port) {
        return new RatingStandin(port);
    }

    private record Rating(double score) {}

    /**
     * Counters of the service.
     *
     * @param rated number of answers rated
     * @param limited number of requests rejected by the rate limit
     */
    public record Counters(long rated, long limited) {}

    private CompletionStage<HttpResponse> handle(Exchange exchange) {
        return CompletableFuture.completedFuture(respond(exchange));
    }

    private HttpResponse respond(Exchange exchange) {
        if (exchange.path().startsWith("/control/")) {
            return control(exchange.path().substring("/control/".length()), exchange);
        }
        if (!exchange.path().equals("/v1/ratings")) {
            return Responses.notFound();
        }
        if (!available) {
            return Responses.json(503, "{}");
        }
        if (!limiter.tryAcquire()) {
            limited.incrementAndGet();
            return Responses.json(429, "{}");
        }
        return rate(exchange.body());
    }

    private HttpResponse rate(String body) {
        try {
            RatingRequest request = StandinJson.read(body, RatingRequest.class);
            rated.incrementAndGet();
            return Responses.json(200, StandinJson.write(new Rating(scoreOf(request))));
        } catch (JsonProcessingException e) {
            return Responses.json(400, "{\"error\":\"unreadable body\"}");
        }
    }

    private double scoreOf(RatingRequest request) {
        return AnswerText.scoreOf(request.answer())
                .orElseGet(() -> qualities.getOrDefault(request.version(), DEFAULT_QUALITY));
    }

    private HttpResponse control(String command, Exchange exchange) {
        switch (command) {
            case "quality" ->
                setQuality(
                        exchange.parameter("version").orElseThrow(),
                        exchange.doubleParameter("value", DEFAULT_QUALITY));
            case "rate" -> setPerSecond(exchange.doubleParameter("per_second", DEFAULT_PER_SECOND));
            case "unavailable" -> setAvailable(false);
            case "up" -> setAvailable(true);
            case "counters" -> {
                return Responses.json(200, StandinJson.write(counters()));
            }
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
     * Returns the service's base URI.
     *
     * @return the URI without a path
     */
    public URI uri() {
        return URI.create("http://127.0.0.1:" + port());
    }

    /**
     * Sets the score of a version's answers that contain no score.
     *
     * @param version the version, as {@code model@version}
     * @param quality the score, from 0 to 1
     */
    public void setQuality(String version, double quality) {
        qualities.put(version, quality);
    }

    /**
     * Sets the rate limit.
     *
     * @param perSecond the maximum number of ratings per second; positive
     */
    public void setPerSecond(double perSecond) {
        limiter.setRate(perSecond);
    }

    /**
     * Sets whether the service is available.
     *
     * @param isAvailable true to rate answers, false to answer rating requests with 503
     */
    public void setAvailable(boolean isAvailable) {
        available = isAvailable;
    }

    /**
     * Returns the counters since the start or the last reset.
     *
     * @return a snapshot of the counters
     */
    public Counters counters() {
        return new Counters(rated.get(), limited.get());
    }

    @Override
    public void close() {
        http.close();
    }
}
