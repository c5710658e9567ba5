package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

/**
 * What operators say of a service.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all callers together; 0 if unknown
 * @param batchSlots requests that one model engine generates at once; 0 for plain services
 * @param cacheTokens tokens that one model engine keeps in memory; 0 for plain services
 * @param modelCosts cost of each model for 1,000 generated tokens; empty for plain services
 */
public record ServiceProfile(
        String name, int maxConnections, int batchSlots, long cacheTokens, ImmutableMap<String, Double> modelCosts) {
    /** Checks the parts. */
    public ServiceProfile {
        checkNotNull(name);
        checkNotNull(modelCosts);
    }

    /**
     * Returns whether the service's endpoints are model engines.
     *
     * @return false for plain services
     */
    public boolean isEngine() {
        return cacheTokens > 0;
    }
}
