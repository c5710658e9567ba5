package baobabcroft.claim;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;

/** One step of a random schedule of claims and faults. */
sealed interface FuzzStep {
    /** How an endpoint treats a request. */
    enum Endpoint {
        ANSWERS,
        ANSWERS_LATE,
        DIES_AFTER_RUNNING,
        LOSES_REQUEST,
        REFUSES_CONNECTION,
        ANSWERS_WITH_ERROR
    }

    /** A caller sends a request, or sends it again. */
    record Deliver(int key, int body, int instance, int timeoutMillis, int sendDelayMillis, Endpoint endpoint)
            implements FuzzStep {}

    /** Something happens to one instance. */
    record Disturb(int instance, Trouble trouble) implements FuzzStep {}

    /** What may happen to an instance. */
    enum Trouble {
        FREEZE,
        WAKE,
        KILL,
        CUT_FROM_STORE,
        RECONNECT
    }

    /** Something happens to the store. */
    record DisturbStore(StoreTrouble trouble, int count, int millis) implements FuzzStep {}

    /** What may happen to the store. */
    enum StoreTrouble {
        STOP,
        RESTART,
        SLOW,
        FAST,
        LOSE_REPLIES,
        DELAY_WRITES
    }

    /** Time passes. */
    record Advance(int millis) implements FuzzStep {}

    /** Returns random schedules. */
    static Arbitrary<List<FuzzStep>> schedules(int maxSteps) {
        Arbitrary<FuzzStep> deliver = Combinators.combine(
                        Arbitraries.integers().between(0, ClaimWorld.KEYS - 1),
                        Arbitraries.frequency(Tuple.of(8, 0), Tuple.of(1, 1)),
                        Arbitraries.integers().between(0, ClaimWorld.INSTANCES - 1),
                        Arbitraries.integers().between(50, 6_000),
                        Arbitraries.frequencyOf(
                                Tuple.of(3, Arbitraries.just(0)),
                                Tuple.of(1, Arbitraries.integers().between(1, 4_000))),
                        Arbitraries.of(Endpoint.class))
                .as(Deliver::new);
        Arbitrary<FuzzStep> disturb = Combinators.combine(
                        Arbitraries.integers().between(0, ClaimWorld.INSTANCES - 1), Arbitraries.of(Trouble.class))
                .as(Disturb::new);
        Arbitrary<FuzzStep> disturbStore = Combinators.combine(
                        Arbitraries.of(StoreTrouble.class),
                        Arbitraries.integers().between(1, 4),
                        Arbitraries.integers().between(10, 3_000))
                .as(DisturbStore::new);
        Arbitrary<FuzzStep> advance = Arbitraries.frequencyOf(
                        Tuple.of(3, Arbitraries.integers().between(0, 20)),
                        Tuple.of(2, Arbitraries.integers().between(20, 3_000)))
                .map(Advance::new);
        return Arbitraries.frequencyOf(
                        Tuple.of(6, deliver), Tuple.of(3, disturb), Tuple.of(3, disturbStore), Tuple.of(6, advance))
                .list()
                .ofMinSize(4)
                .ofMaxSize(maxSteps);
    }
}
