package baobabcroft.balance;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** The pickers at hand: the product's and the baselines it is measured against. All are thread-safe. */
public final class EndpointPickers {
    private EndpointPickers() {}

    /**
     * Returns a picker that chooses evenly at random.
     *
     * @return the picker
     */
    public static EndpointPicker random() {
        return (candidates, facts, random) -> candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /**
     * Returns a picker that takes the candidates in turn.
     *
     * @return the picker, with a turn of its own
     */
    public static EndpointPicker roundRobin() {
        AtomicInteger turn = new AtomicInteger();
        return (candidates, facts, random) -> candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(turn.getAndIncrement(), candidates.size())));
    }

    /**
     * Returns a picker that takes the endpoint with the lowest latest load report.
     *
     * @return the picker
     */
    public static EndpointPicker leastReported() {
        return (candidates, facts, random) -> candidates.stream()
                .min(Comparator.comparingDouble(candidate -> (double) candidate.reported() / candidate.capacity()));
    }

    /**
     * Returns the product's picker: the nearest tier with room, prompt-prefix affinity within a bound on load, and
     * otherwise the less loaded of two random choices.
     *
     * @return the picker
     */
    public static EndpointPicker tiered() {
        return new TieredPicker();
    }
}
