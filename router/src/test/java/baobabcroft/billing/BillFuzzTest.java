package baobabcroft.billing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fake.FaultInjection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.Tuple;

/** Runs random schedules of bills and faults: each request whose answer was completed must be billed exactly once. */
class BillFuzzTest {
    private static final int MUTANT_TRIES = 500;

    @Provide
    static Arbitrary<List<BillSimulation.Step>> schedules() {
        Arbitrary<BillSimulation.Step> bill = Arbitraries.integers()
                .between(0, BillSimulation.INSTANCES - 1)
                .map(place -> new BillSimulation.Step(place, Optional.empty()));
        Arbitrary<BillSimulation.Step> disturb = FaultInjection.arbitrary(BillSimulation.INSTANCES)
                .map(disturbance -> new BillSimulation.Step(0, Optional.of(disturbance)));
        return Arbitraries.frequencyOf(Tuple.of(1, bill), Tuple.of(2, disturb))
                .list()
                .ofMinSize(4)
                .ofMaxSize(60);
    }

    @Property(tries = 200, seed = "20261204")
    void completedRequestsAreBilledExactlyOnce(@ForAll("schedules") List<BillSimulation.Step> steps) {
        assertEquals("", new BillSimulation(BillSimulation.Mutant.NONE).run(steps));
    }

    @Example
    void detectsHolderThatDropsBills() {
        assertDetected(BillSimulation.Mutant.HOLDER_FORGETS);
    }

    @Example
    void detectsHolderThatChangesRequestIds() {
        assertDetected(BillSimulation.Mutant.HOLDER_RENAMES);
    }

    private static void assertDetected(BillSimulation.Mutant mutant) {
        assertTrue(schedules().generator(1_000).stream(new Random(1))
                .map(Shrinkable::value)
                .limit(MUTANT_TRIES)
                .anyMatch(steps -> !new BillSimulation(mutant).run(steps).isEmpty()));
    }
}
