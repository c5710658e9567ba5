package baobabcroft.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.load.SharedLoads.Load;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SharedLoadsTest {
    private static final EndpointKey ENGINE = EndpointKey.of("engine-1");

    private long nowMillis = 1_000;
    private final SharedLoads loads = SharedLoads.create(() -> nowMillis);

    @Nested
    class Sums {
        @Test
        void addInstancesAndOtherFailureDomains() {
            loads.told("instance-1", 1, Map.of(ENGINE, new Load(2, 30)));
            loads.toldOfDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));

            assertEquals(new Load(7, 130), loads.at(ENGINE));
        }

        @Test
        void useTheLatestUpdateOfAFailureDomain() {
            loads.toldOfDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));
            loads.toldOfDomain("domain-2", Map.of());

            assertEquals(Load.NONE, loads.at(ENGINE));
        }

        @Test
        void leaveOutSourcesWithoutRecentUpdates() {
            loads.toldOfDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));
            nowMillis += 3_001;

            assertEquals(Load.NONE, loads.at(ENGINE));
        }

        @Test
        void ofTheOwnFailureDomainLeaveOutTheOthers() {
            loads.told("instance-1", 1, Map.of(ENGINE, new Load(2, 80)));
            loads.toldOfDomain("domain-2", Map.of(ENGINE, new Load(5, 100)));

            assertEquals(ImmutableMap.of(ENGINE, new Load(3, 90)), loads.ofOwnDomain(Map.of(ENGINE, new Load(1, 10))));
        }

        @Test
        void ofTheOwnFailureDomainLeaveOutSmallLoads() {
            assertEquals(ImmutableMap.of(), loads.ofOwnDomain(Map.of(ENGINE, new Load(1, 40))));
        }
    }
}
