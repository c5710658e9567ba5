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

/** Random schedules of bills and faults: what callers were given the end of an answer for is billed once. */
class BillFuzzTest {
    private static final int MUTANT_TRIES = 500;

    @Provide
    static Arbitrary<List<BillWorld.Step>> schedules() {
        Arbitrary<BillWorld.Step> bill = Arbitraries.integers()
                .between(0, BillWorld.INSTANCES - 1)
                .map(place -> new BillWorld.Step(place, Optional.empty()));
        Arbitrary<BillWorld.Step> disturb = FaultInjection.arbitrary(BillWorld.INSTANCES)
                .map(disturbance -> new BillWorld.Step(0, Optional.of(disturbance)));
        return Arbitraries.frequencyOf(Tuple.of(1, bill), Tuple.of(2, disturb))
                .list()
                .ofMinSize(4)
                .ofMaxSize(60);
    }

    @Property(tries = 200, seed = "20261204")
    void noBillIsLostOrCountedTwice(@ForAll("schedules") List<BillWorld.Step> steps) {
        assertEquals("", new BillWorld(BillWorld.Mutant.NONE).run(steps));
    }

    @Example
    void theOracleNoticesAHolderThatForgets() {
        assertNoticed(BillWorld.Mutant.HOLDER_FORGETS);
    }

    @Example
    void theOracleNoticesAHolderThatRenamesBills() {
        assertNoticed(BillWorld.Mutant.HOLDER_RENAMES);
    }

    private static void assertNoticed(BillWorld.Mutant mutant) {
        assertTrue(schedules().generator(1_000).stream(new Random(1))
                .map(Shrinkable::value)
                .limit(MUTANT_TRIES)
                .anyMatch(steps -> !new BillWorld(mutant).run(steps).isEmpty()));
    }
}
