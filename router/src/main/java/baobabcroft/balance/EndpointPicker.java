package baobabcroft.balance;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Load-balancing strategy: chooses one of the endpoints that may take a request. Implementations hold no locks. */
@FunctionalInterface
public interface EndpointPicker {
    /**
     * Chooses an endpoint.
     *
     * @param candidates endpoints with capacity left by this instance's own count, ordered by name
     * @param criteria properties of the request that affect the choice
     * @param random random number generator of the calling thread
     * @return one of the candidates, or empty if the request should wait or be refused
     */
    Optional<Candidate> pick(List<Candidate> candidates, EndpointCriteria criteria, UniformRandomProvider random);
}
