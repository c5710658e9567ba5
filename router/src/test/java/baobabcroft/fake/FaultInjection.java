package baobabcroft.fake;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/**
 * Something that happens to an instance, to the store or to time. Members that a trouble has no use for are ignored.
 */
public record FaultInjection(Kind kind, int instanceIndex, int count, int millis) {
    /** What may happen. */
    public enum Kind {
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

    /** Returns random disturbances of some instances; half of them are pauses. */
    public static Arbitrary<FaultInjection> arbitrary(int instances) {
        Arbitrary<Integer> millis = Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.integers().between(0, 20)),
                Tuple.of(1, Arbitraries.integers().between(20, 3_000)));
        Arbitrary<Kind> trouble = Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.of(Kind.class)), Tuple.of(1, Arbitraries.just(Kind.PAUSE)));
        return Combinators.combine(
                        trouble,
                        Arbitraries.integers().between(0, instances - 1),
                        Arbitraries.integers().between(1, 4),
                        millis)
                .as(FaultInjection::new);
    }
}
