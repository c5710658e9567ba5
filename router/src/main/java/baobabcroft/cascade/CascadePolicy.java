package baobabcroft.cascade;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses how a cascade answers a request. */
@FunctionalInterface
public interface CascadePolicy {
    /**
     * Chooses the first step.
     *
     * @param kind the kind of request
     * @param steps the versions that may answer, cheapest first; not empty
     * @param qualityTarget mean quality that the answers must reach
     * @param random source of randomness of the calling thread
     * @return the choice
     */
    CascadeChoice choose(RequestKind kind, List<CascadeStep> steps, double qualityTarget, UniformRandomProvider random);
}
