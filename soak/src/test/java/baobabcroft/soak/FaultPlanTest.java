package baobabcroft.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
    private static final long DURATION_MILLIS = 120_000;
    private static final int INSTANCES = 5;

    private static List<Fault> draw(long seed) {
        return FaultPlan.draw(
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                EnumSet.allOf(FaultKind.class),
                DURATION_MILLIS,
                INSTANCES,
                4);
    }

    @Nested
    class Draw {
        @Test
        void repeatsWithTheSameSeed() {
            assertEquals(draw(3), draw(3));
        }

        @Test
        void leavesQuietTimesAndOneInstanceInReach() {
            for (long seed = 0; seed < 200; seed++) {
                for (Fault fault : draw(seed)) {
                    assertTrue(fault.atMillis() >= FaultPlan.QUIET_START_MILLIS);
                    assertTrue(fault.endMillis() <= DURATION_MILLIS - FaultPlan.QUIET_END_MILLIS);
                    assertTrue(!fault.kind().isCut() || fault.instances().size() < INSTANCES);
                }
            }
        }
    }
}
