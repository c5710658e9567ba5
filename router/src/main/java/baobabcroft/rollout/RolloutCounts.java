package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.replica.StoreRevision;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Answer counts of a new version since its rollout was ordered, from one instance or summed over several.
 *
 * @param order revision that identifies the rollout order that the counts belong to
 * @param routes the counts by route
 */
public record RolloutCounts(StoreRevision order, ImmutableMap<String, RouteTrials> routes) {
    /** Rejects null components. */
    public RolloutCounts {
        checkNotNull(order);
        checkNotNull(routes);
    }

    /**
     * Returns, for each route, the counts with more answers.
     *
     * @param other other counts of the same order
     * @return the greater counts
     */
    RolloutCounts max(RolloutCounts other) {
        Map<String, RouteTrials> greater = new HashMap<>(routes);
        other.routes.forEach((route, routeCounts) -> greater.merge(route, routeCounts, RouteTrials::max));
        return new RolloutCounts(order, ImmutableMap.copyOf(greater));
    }

    /**
     * Returns the sum of two counts of the same order, otherwise the counts of the later order.
     *
     * @param other other counts of the same service
     * @return the sum, or the counts of the later order
     */
    public RolloutCounts plus(RolloutCounts other) {
        if (!order.equals(other.order)) {
            return order.isAfter(other.order) ? this : other;
        }
        Map<String, RouteTrials> sum = new HashMap<>(routes);
        other.routes.forEach((route, routeCounts) -> sum.merge(route, routeCounts, RouteTrials::plus));
        return new RolloutCounts(order, ImmutableMap.copyOf(sum));
    }
}
