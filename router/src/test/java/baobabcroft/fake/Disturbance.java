package baobabcroft.fake;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/**
 * A step of a randomized test: injects or ends a fault of an instance or of the store, or lets time pass. Components
 * that the kind does not use are ignored.
 */
public record Disturbance(Trouble trouble, int place, int count, int millis) {
    /** Kind of the step. */
    public enum Trouble {
        FREEZE,
        THAW,
        KILL,
        CUT_FROM_STORE,
        RECONNECT,
        STOP_STORE,
        RESTART_STORE,
        SLOW_STORE,
        FAST_STORE,
        LOSE_REPLIES,
        DELAY_WRITES,
        PAUSE
    }

    /** Returns random steps for the given number of instances; at least half of them let time pass. */
    public static Arbitrary<Disturbance> among(int instances) {
        Arbitrary<Integer> millis = Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.integers().between(0, 20)),
                Tuple.of(1, Arbitraries.integers().between(20, 3_000)));
        Arbitrary<Trouble> trouble = Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.of(Trouble.class)), Tuple.of(1, Arbitraries.just(Trouble.PAUSE)));
        return Combinators.combine(
                        trouble,
                        Arbitraries.integers().between(0, instances - 1),
                        Arbitraries.integers().between(1, 4),
                        millis)
                .as(Disturbance::new);
    }
}
