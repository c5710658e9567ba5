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

class EndpointLedgerTest {
    private final VirtualTime time = new VirtualTime();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final List<String> gone = new ArrayList<>();
    private final EndpointLedger ledger =
            new EndpointLedger(directory, time.scheduler(), time::nowMillis, endpoint -> gone.add(endpoint.id()));

    private static EndpointEntry endpoint(String id, long startedAtEpochMillis) {
        return new EndpointEntry(
                id, "work", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 4, false, startedAtEpochMillis);
    }

    @Nested
    class UndisturbedStore {
        @Test
        void forgetsAnEntryThatIsRemovedAtOnce() {
            ledger.listed(endpoint("a", 1));
            time.advance(10_000);
            ledger.unlisted("a");

            assertTrue(directory.find("a").isEmpty());
            assertEquals(List.of("a"), gone);
        }

        @Test
        void tellsThatTheFormerIncarnationIsGone() {
            ledger.listed(endpoint("a", 1));
            ledger.listed(endpoint("a", 2));

            assertEquals(List.of("a"), gone);
            assertEquals(2, directory.find("a").orElseThrow().startedAtEpochMillis());
        }
    }

    @Nested
    class DisturbedStore {
        /** Leases lapse while the store is down; live endpoints register again within 2 s and must not be removed. */
        @Test
        void keepsEntriesThatComeBack() {
            ledger.listed(endpoint("a", 1));
            time.advance(10_000);
            ledger.storeDisturbed();
            ledger.onlyListed(Set.of());
            time.advance(1_900);
            ledger.listed(endpoint("a", 1));
            time.advance(10_000);

            assertTrue(directory.find("a").isPresent());
            assertTrue(gone.isEmpty());
        }

        @Test
        void forgetsEntriesThatStayAway() {
            ledger.listed(endpoint("a", 1));
            time.advance(10_000);
            ledger.storeDisturbed();
            ledger.onlyListed(Set.of());
            time.advance(2_400);

            assertFalse(directory.find("a").isPresent());
        }

        @Test
        void startsTheWaitAnewWhenTheStoreIsDisturbedAgain() {
            ledger.listed(endpoint("a", 1));
            time.advance(10_000);
            ledger.storeDisturbed();
            ledger.onlyListed(Set.of());
            time.advance(1_000);
            ledger.storeDisturbed();
            time.advance(2_000);

            assertTrue(directory.find("a").isPresent());
        }
    }
}
