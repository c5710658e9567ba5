package baobabcroft.rollout;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts of new versions' answers as instances tell them: this instance's, and those of each other one of its failure
 * domain. Counts only grow, so that a notice that is lost is made up for by the next. Not thread-safe.
 */
public final class DomainRolloutCounts {
    private final Map<String, RolloutCounts> own = new HashMap<>();
    private final Map<String, ImmutableMap<String, RolloutCounts>> byInstance = new HashMap<>();

    /** Creates counts of which nobody has told yet. */
    public DomainRolloutCounts() {}

    /**
     * Takes this instance's counts.
     *
     * @param service name of the service
     * @param counts its counts; none once the roll-out is over
     */
    public void setOwn(String service, RolloutCounts counts) {
        if (counts.routes().isEmpty()) {
            own.remove(service);
        } else {
            own.put(service, counts);
        }
    }

    /**
     * Takes the counts of another instance of this failure domain.
     *
     * @param instance the instance
     * @param counts its counts by service
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
     * Returns the counts of this failure domain, as far as they were told.
     *
     * @return the sum over its instances, by service
     */
    public ImmutableMap<String, RolloutCounts> domainTotal() {
        Map<String, RolloutCounts> sum = new HashMap<>(own);
        byInstance
                .values()
                .forEach(told -> told.forEach((service, counts) -> sum.merge(service, counts, RolloutCounts::plus)));
        return ImmutableMap.copyOf(sum);
    }
}
