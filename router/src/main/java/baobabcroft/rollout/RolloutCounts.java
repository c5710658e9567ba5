package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Answer counts of a new version since its rollout was ordered, from one instance or summed over several.
 *
 * @param orderRevision revision of the rollout order that the counts belong to
 * @param routes the counts by route
 */
public record RolloutCounts(long orderRevision, ImmutableMap<String, RouteTrials> routes) {
    /** Rejects null components. */
    public RolloutCounts {
        checkNotNull(routes);
    }

    /**
     * Returns the sum of two counts of the same order, otherwise the counts of the order with the greater revision.
     *
     * @param other other counts of the same service
     * @return the sum, or the counts of the order with the greater revision
     */
    public RolloutCounts plus(RolloutCounts other) {
        if (orderRevision != other.orderRevision) {
            return orderRevision > other.orderRevision ? this : other;
        }
        Map<String, RouteTrials> sum = new HashMap<>(routes);
        other.routes.forEach((route, routeCounts) -> sum.merge(route, routeCounts, RouteTrials::plus));
        return new RolloutCounts(orderRevision, ImmutableMap.copyOf(sum));
    }
}
