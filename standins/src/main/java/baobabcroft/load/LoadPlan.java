package baobabcroft.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;

/**
 * Parameters of a load run.
 *
 * @param targets targets of the requests, used in rotation; not empty
 * @param kind kind of every request
 * @param arrivalPattern distribution of the intervals between requests
 * @param requestsPerSecond requests per second to each target; positive
 * @param warmupMillis length of the initial phase whose requests are not measured, in milliseconds
 * @param durationMillis length of the measured phase that follows, in milliseconds; positive
 * @param timeoutMillis time after which an incomplete request is cancelled, in milliseconds
 * @param seed seed of the arrival times, also part of the idempotency keys
 * @param maxTokens {@code max_tokens} of chat requests
 * @param promptCharacters approximate prompt length of chat requests, in characters
 * @param headers additional headers of each request, value by name
 */
public record LoadPlan(
        List<LoadTarget> targets,
        RequestKind kind,
        ArrivalPattern arrivalPattern,
        double requestsPerSecond,
        long warmupMillis,
        long durationMillis,
        long timeoutMillis,
        long seed,
        int maxTokens,
        int promptCharacters,
        Map<String, String> headers) {
    /**
     * Validates the parameters and copies the collections.
     *
     * @throws IllegalArgumentException if there are no targets, or the rate or the duration is not positive
     */
    public LoadPlan {
        targets = ImmutableList.copyOf(targets);
        headers = ImmutableMap.copyOf(headers);
        checkArgument(!targets.isEmpty(), "targets must not be empty");
        checkArgument(requestsPerSecond > 0, "requestsPerSecond must be positive, was %s", requestsPerSecond);
        checkArgument(durationMillis > 0, "durationMillis must be positive, was %s", durationMillis);
    }
}
