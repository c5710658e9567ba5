package baobabcroft.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.load.PeerLoads.Load;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerLoadsTest {
    private static final EndpointKey ENGINE = EndpointKey.of("engine-1");

    private long nowMillis = 1_000;
    private final PeerLoads loads = PeerLoads.create(() -> nowMillis);

    @Nested
    class Sums {
        @Test
        void addNeighboursAndOtherFailureDomains() {
            loads.updateInstance("neighbour", 1, Map.of(ENGINE, new Load(2, 30)));
            loads.updateFailureDomain("elsewhere", Map.of(ENGINE, new Load(5, 100)));

            assertEquals(new Load(7, 130), loads.loadOf(ENGINE));
        }

        @Test
        void takeTheLastWordOnAFailureDomain() {
            loads.updateFailureDomain("elsewhere", Map.of(ENGINE, new Load(5, 100)));
            loads.updateFailureDomain("elsewhere", Map.of());

            assertEquals(Load.NONE, loads.loadOf(ENGINE));
        }

        @Test
        void leaveOutWhoFellSilent() {
            loads.updateFailureDomain("elsewhere", Map.of(ENGINE, new Load(5, 100)));
            nowMillis += 3_001;

            assertEquals(Load.NONE, loads.loadOf(ENGINE));
        }

        @Test
        void ofTheOwnDomainLeaveOutTheOthers() {
            loads.updateInstance("neighbour", 1, Map.of(ENGINE, new Load(2, 80)));
            loads.updateFailureDomain("elsewhere", Map.of(ENGINE, new Load(5, 100)));

            assertEquals(
                    ImmutableMap.of(ENGINE, new Load(3, 90)), loads.ownDomainLoads(Map.of(ENGINE, new Load(1, 10))));
        }

        @Test
        void ofTheOwnDomainLeaveOutWhatIsTooLightToMatterElsewhere() {
            assertEquals(ImmutableMap.of(), loads.ownDomainLoads(Map.of(ENGINE, new Load(1, 40))));
        }
    }
}
