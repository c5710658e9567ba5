package baobabcroft.claim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Shrinkable;

/**
 * Runs random schedules of requests and faults and checks each one with a {@link ClaimOracle}.
 *
 * <p>To run more schedules, set {@code -Dclaims.fuzz.tries=20000 -Dclaims.fuzz.seed=7}.
 */
class ClaimFuzzTest {
    private static final int MAX_STEPS = 60;
    private static final int GENERATOR_SIZE = 1_000;
    private static final int MUTANT_TRIES = 1_000;

    @Provide
    Arbitrary<List<FuzzStep>> schedules() {
        return FuzzStep.schedules(MAX_STEPS);
    }

    private static Stream<List<FuzzStep>> schedules(long seed) {
        return FuzzStep.schedules(MAX_STEPS).generator(GENERATOR_SIZE).stream(new Random(seed))
                .map(Shrinkable::value);
    }

    @Property(tries = 200, seed = "20261204")
    void randomSchedulesViolateNoGuarantee(@ForAll("schedules") List<FuzzStep> steps) {
        new ClaimSimulation(ClaimSimulation.Mutant.NONE).run(steps);
    }

    @Example
    void configurableNumberOfSchedulesViolatesNoGuarantee() {
        int tries = Integer.getInteger("claims.fuzz.tries", 50);
        long seed = Long.getLong("claims.fuzz.seed", 1);
        long actions = schedules(seed)
                .limit(tries)
                .peek(steps -> new ClaimSimulation(ClaimSimulation.Mutant.NONE).run(steps))
                .mapToLong(List::size)
                .sum();
        System.out.printf("claims: seed %d, %d schedules, %d actions%n", seed, tries, actions);
    }

    @Property
    void oracleDetectsEachMutant(@ForAll ClaimSimulation.Mutant mutant) {
        boolean detected = schedules(1).limit(MUTANT_TRIES).anyMatch(steps -> violatesGuarantee(mutant, steps));
        assertTrue(
                detected != (mutant == ClaimSimulation.Mutant.NONE),
                () -> "oracle gave the wrong result for mutant " + mutant);
    }

    private static boolean violatesGuarantee(ClaimSimulation.Mutant mutant, List<FuzzStep> steps) {
        try {
            new ClaimSimulation(mutant).run(steps);
            return false;
        } catch (IllegalStateException e) {
            return true;
        }
    }
}
