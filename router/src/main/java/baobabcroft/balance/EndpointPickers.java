package baobabcroft.balance;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Implementations of {@link EndpointPicker}: the default one and baselines for comparison. All are thread-safe. */
public final class EndpointPickers {
    private EndpointPickers() {}

    /**
     * Returns a picker that chooses uniformly at random.
     *
     * @return a stateless picker
     */
    public static EndpointPicker random() {
        return (candidates, criteria, random) -> candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /**
     * Returns a picker that chooses the candidates in turn.
     *
     * @return a picker with a counter of its own
     */
    public static EndpointPicker roundRobin() {
        AtomicInteger turn = new AtomicInteger();
        return (candidates, criteria, random) -> candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(turn.getAndIncrement(), candidates.size())));
    }

    /**
     * Returns a picker that chooses the endpoint with the lowest reported load relative to its capacity.
     *
     * @return a stateless picker
     */
    public static EndpointPicker leastReported() {
        return (candidates, criteria, random) -> candidates.stream()
                .min(Comparator.comparingDouble(candidate -> (double) candidate.reported() / candidate.capacity()));
    }

    /**
     * Returns the default picker. It chooses within the nearest locality that has capacity: by prompt-prefix affinity
     * while the load of that endpoint is within a bound, and otherwise the less loaded of two random endpoints.
     *
     * @return a stateless picker
     */
    public static EndpointPicker tiered() {
        return new TieredPicker();
    }
}
