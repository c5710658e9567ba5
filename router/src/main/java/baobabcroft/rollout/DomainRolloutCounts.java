package baobabcroft.rollout;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Answer counts of new versions from this instance and from each other instance of its failure domain. Counts are
 * cumulative, so the next notice makes up for a lost one. Not thread-safe.
 */
public final class DomainRolloutCounts {
    private final Map<String, RolloutCounts> own = new HashMap<>();
    private final Map<String, ImmutableMap<String, RolloutCounts>> byInstance = new HashMap<>();

    /** Creates an object without counts. */
    public DomainRolloutCounts() {}

    /**
     * Sets this instance's counts for a service.
     *
     * @param service name of the service
     * @param counts the cumulative counts; without routes once the rollout has ended, which removes the entry
     */
    public void setOwn(String service, RolloutCounts counts) {
        if (counts.routes().isEmpty()) {
            own.remove(service);
        } else {
            own.put(service, counts);
        }
    }

    /**
     * Replaces the counts of another instance of this failure domain.
     *
     * @param instance name of the instance
     * @param counts cumulative counts by service
     */
    public void setPeer(String instance, ImmutableMap<String, RolloutCounts> counts) {
        byInstance.put(instance, counts);
    }

    /**
     * Returns this instance's counts.
     *
     * @return the counts by service
     */
    public ImmutableMap<String, RolloutCounts> own() {
        return ImmutableMap.copyOf(own);
    }

    /**
     * Returns the counts of this failure domain, as far as they have been received.
     *
     * @return the sum over its instances, by service
     */
    public ImmutableMap<String, RolloutCounts> domainTotal() {
        Map<String, RolloutCounts> sum = new HashMap<>(own);
        byInstance
                .values()
                .forEach(instanceCounts ->
                        instanceCounts.forEach((service, counts) -> sum.merge(service, counts, RolloutCounts::plus)));
        return ImmutableMap.copyOf(sum);
    }
}
