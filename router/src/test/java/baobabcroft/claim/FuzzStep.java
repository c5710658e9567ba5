package baobabcroft.claim;

import baobabcroft.fake.FaultInjection;
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
    record Deliver(int key, int body, int place, int timeoutMillis, int sendDelayMillis, Endpoint endpoint)
            implements FuzzStep {}

    /** Something is disturbed. */
    record Disturb(FaultInjection disturbance) implements FuzzStep {}

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
        Arbitrary<FuzzStep> disturb =
                FaultInjection.arbitrary(ClaimWorld.INSTANCES).map(Disturb::new);
        return Arbitraries.frequencyOf(Tuple.of(1, deliver), Tuple.of(2, disturb))
                .list()
                .ofMinSize(4)
                .ofMaxSize(maxSteps);
    }
}
