package baobabcroft.standin.rating;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import baobabcroft.external.HttpRatingService;
import baobabcroft.external.RatingRequest;
import baobabcroft.external.RatingResult;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RatingStandinTest {
    private static final long LIMIT_SECONDS = 20;

    private final RatingStandin standin = RatingStandin.start(0);
    private final HttpRatingService service =
            HttpRatingService.create(standin.uri(), TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));

    @AfterEach
    void stop() {
        standin.close();
    }

    private RatingResult rate(String answer) throws Exception {
        return service.rate(new RatingRequest("film@1", "short", "digest", answer))
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void returnsTheScoreEmbeddedInTheAnswer() throws Exception {
        assertEquals(new RatingResult.Rated(0.25), rate("score=0.250 w1"));
    }

    @Test
    void returnsTheQualityOfTheVersionWithoutAnEmbeddedScore() throws Exception {
        standin.setQuality("film@1", 0.5);
        assertEquals(new RatingResult.Rated(0.5), rate("no score"));
    }

    @Test
    void enforcesTheRateLimit() throws Exception {
        standin.setPerSecond(0.001);
        RatingResult last = rate("a");
        for (int i = 0; i < 100 && last instanceof RatingResult.Rated; i++) {
            last = rate("a");
        }
        assertEquals(new RatingResult.Limited(), last);
    }

    @Test
    void reportsUnavailabilityToTheClient() throws Exception {
        standin.setAvailable(false);
        assertInstanceOf(RatingResult.Unavailable.class, rate("a"));
    }
}
