package baobabcroft.external;

import java.util.concurrent.CompletionStage;

/** The platform's service that rates answers; it limits how many it rates a second. Thread-safe. */
@FunctionalInterface
public interface RatingService {
    /**
     * Rates one answer.
     *
     * @param request the answer and what it answers
     * @return the rating or why there is none; never completes exceptionally
     */
    CompletionStage<RatingResult> rate(RatingRequest request);
}
