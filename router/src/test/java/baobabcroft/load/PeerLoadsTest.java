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
        void addInstancesAndOtherFailureDomains() {
            loads.updateInstance("instance-1", 1, Map.of(ENGINE, new Load(2, 30)));
            loads.updateFailureDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));

            assertEquals(new Load(7, 130), loads.loadOf(ENGINE));
        }

        @Test
        void useTheLatestUpdateOfAFailureDomain() {
            loads.updateFailureDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));
            loads.updateFailureDomain("domain-2", Map.of());

            assertEquals(Load.NONE, loads.loadOf(ENGINE));
        }

        @Test
        void leaveOutSourcesWithoutRecentUpdates() {
            loads.updateFailureDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));
            nowMillis += 3_001;

            assertEquals(Load.NONE, loads.loadOf(ENGINE));
        }

        @Test
        void ofTheOwnFailureDomainLeaveOutTheOthers() {
            loads.updateInstance("instance-1", 1, Map.of(ENGINE, new Load(2, 80)));
            loads.updateFailureDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));

            assertEquals(
                    ImmutableMap.of(ENGINE, new Load(3, 90)), loads.ownDomainLoads(Map.of(ENGINE, new Load(1, 10))));
        }

        @Test
        void ofTheOwnFailureDomainLeaveOutSmallLoads() {
            assertEquals(ImmutableMap.of(), loads.ownDomainLoads(Map.of(ENGINE, new Load(1, 40))));
        }
    }
}
