package baobabcroft.external;

import java.util.concurrent.CompletionStage;

/** Client of the platform's service that rates model answers, which limits its request rate. Thread-safe. */
@FunctionalInterface
public interface RatingService {
    /**
     * Rates one answer.
     *
     * @param request the answer and the request that it belongs to
     * @return the rating, or the reason why there is none; never completes exceptionally
     */
    CompletionStage<RatingResult> rate(RatingRequest request);
}
