package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts of a new version's answers since the order to move to it, of one instance or of several.
 *
 * @param orderRevision the order that they belong to
 * @param routes the counts by route
 */
public record RolloutCounts(long orderRevision, ImmutableMap<String, RouteTrials> routes) {
    /** Checks the parts. */
    public RolloutCounts {
        checkNotNull(routes);
    }

    /**
     * Returns the counts of both; of the later order alone if they belong to two.
     *
     * @param other other counts of the same service
     * @return the sum
     */
    public RolloutCounts plus(RolloutCounts other) {
        if (orderRevision != other.orderRevision) {
            return orderRevision > other.orderRevision ? this : other;
        }
        Map<String, RouteTrials> sum = new HashMap<>(routes);
        other.routes.forEach((route, trials) -> sum.merge(route, trials, RouteTrials::plus));
        return new RolloutCounts(orderRevision, ImmutableMap.copyOf(sum));
    }
}
