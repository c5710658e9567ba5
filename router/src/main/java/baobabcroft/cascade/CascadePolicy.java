package baobabcroft.cascade;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Strategy that decides how a cascade answers a request. */
@FunctionalInterface
public interface CascadePolicy {
    /**
     * Chooses the step that answers first, and whether to rate and escalate.
     *
     * @param kind the kind of request
     * @param steps the versions that may answer, cheapest first; must not be empty
     * @param qualityTarget mean quality, from zero to one, that the answers of the cascade must reach
     * @param random random number generator of the calling thread
     * @return the decision
     */
    CascadeChoice choose(RequestKind kind, List<CascadeStep> steps, double qualityTarget, UniformRandomProvider random);
}
