package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts in total; 0 if unknown
 * @param batchSlots requests that one model engine processes in a batch; 0 for plain services
 * @param cacheTokens tokens that the KV cache of one model engine holds; 0 for plain services
 * @param modelCosts cost of 1,000 generated tokens by model name; empty for plain services
 * @param warmUp what endpoints tolerate while they are cold after a start; empty if not stated
 */
public record ServiceProfile(
        String name,
        int maxConnections,
        int batchSlots,
        long cacheTokens,
        ImmutableMap<String, Double> modelCosts,
        Optional<WarmUp> warmUp) {
    /** Validates the components. */
    public ServiceProfile {
        checkNotNull(name);
        checkNotNull(modelCosts);
        checkNotNull(warmUp);
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
