package baobabcroft.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;

/**
 * What a run does.
 *
 * @param targets requests go to each in turn
 * @param kind what is asked for
 * @param pattern how the times between requests are spread
 * @param perSecond requests a second to each target
 * @param warmupMillis time at the start whose requests are not counted, in milliseconds
 * @param durationMillis time after it in which counted requests are sent, in milliseconds
 * @param timeoutMillis longest wait for an answer, in milliseconds
 * @param seed seed of the times
 * @param maxTokens length of the answers, in tokens
 * @param promptCharacters length of the prompts
 * @param headers further headers of each request
 */
public record LoadPlan(
        List<LoadTarget> targets,
        RequestKind kind,
        ArrivalPattern pattern,
        double perSecond,
        long warmupMillis,
        long durationMillis,
        long timeoutMillis,
        long seed,
        int maxTokens,
        int promptCharacters,
        Map<String, String> headers) {
    /** Checks and copies the parts. */
    public LoadPlan {
        targets = ImmutableList.copyOf(targets);
        headers = ImmutableMap.copyOf(headers);
        checkArgument(!targets.isEmpty(), "no targets");
        checkArgument(perSecond > 0, "perSecond must be positive, was %s", perSecond);
        checkArgument(durationMillis > 0, "durationMillis must be positive, was %s", durationMillis);
    }
}
