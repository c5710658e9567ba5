package baobabcroft.balance;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses one of the endpoints that may take a request. Implementations keep no lock while they choose. */
@FunctionalInterface
public interface EndpointPicker {
    /**
     * Chooses an endpoint.
     *
     * @param candidates the endpoints that have room by this instance's own count, in the order of their names
     * @param facts the request
     * @param random source of randomness of the calling thread
     * @return one of the candidates, or empty if the request should wait or be refused
     */
    Optional<Candidate> pick(List<Candidate> candidates, EndpointCriteria facts, UniformRandomProvider random);
}
