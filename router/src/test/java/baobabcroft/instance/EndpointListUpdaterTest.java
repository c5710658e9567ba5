package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.fake.VirtualTime;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointListUpdaterTest {
    private final VirtualTime time = new VirtualTime();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final List<String> removed = new ArrayList<>();
    private final EndpointListUpdater updater = new EndpointListUpdater(
            directory, time.scheduler(), time::nowMillis, endpoint -> removed.add(endpoint.id()));

    private static EndpointEntry endpoint(String id, long startedAtEpochMillis) {
        return new EndpointEntry(
                id, "work", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 4, false, startedAtEpochMillis);
    }

    @Nested
    class StoreAvailable {
        @Test
        void removesUnlistedEndpointImmediately() {
            updater.onListed(endpoint("a", 1));
            time.advance(10_000);
            updater.onUnlisted("a");

            assertTrue(directory.find("a").isEmpty());
            assertEquals(List.of("a"), removed);
        }

        @Test
        void reportsReplacedIncarnationAsRemoved() {
            updater.onListed(endpoint("a", 1));
            updater.onListed(endpoint("a", 2));

            assertEquals(List.of("a"), removed);
            assertEquals(2, directory.find("a").orElseThrow().startedAtEpochMillis());
        }
    }

    @Nested
    class StoreLost {
        /** Leases lapse while the store is down; live endpoints register again within 2 s and must not be removed. */
        @Test
        void keepsEndpointsThatRegisterAgain() {
            updater.onListed(endpoint("a", 1));
            time.advance(10_000);
            updater.onStoreLost();
            updater.onCompleteList(Set.of());
            time.advance(1_900);
            updater.onListed(endpoint("a", 1));
            time.advance(10_000);

            assertTrue(directory.find("a").isPresent());
            assertTrue(removed.isEmpty());
        }

        @Test
        void removesEndpointsThatDoNotRegisterAgain() {
            updater.onListed(endpoint("a", 1));
            time.advance(10_000);
            updater.onStoreLost();
            updater.onCompleteList(Set.of());
            time.advance(2_400);

            assertFalse(directory.find("a").isPresent());
        }

        @Test
        void restartsDelayWhenStoreIsLostAgain() {
            updater.onListed(endpoint("a", 1));
            time.advance(10_000);
            updater.onStoreLost();
            updater.onCompleteList(Set.of());
            time.advance(1_000);
            updater.onStoreLost();
            time.advance(2_000);

            assertTrue(directory.find("a").isPresent());
        }
    }
}
