package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.directory.EvacuatedDomains;
import baobabcroft.fake.VirtualTime;
import baobabcroft.replica.SharedKeyWriter;
import baobabcroft.replica.StoreEntry;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.rollout.RolloutStatusWriter;
import baobabcroft.routing.RoutingTableHolder;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreContentsTest {
    private static final long CONTACT_MILLIS = 4_000;

    private final VirtualTime time = new VirtualTime();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final SharedStoreRecords records = new SharedStoreRecords("self", new DomainRolloutCounts());
    private final FleetRollouts rollouts = new FleetRollouts(
            records, time::nowMillis, time::nowMillis, RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0.1, () -> 1);
    private final StoreContents contents = new StoreContents(
            new FailingDialect(),
            new RoutingTableHolder(),
            new EndpointListUpdater(directory, time.scheduler(), time::nowMillis, CONTACT_MILLIS, endpoint -> {}),
            new EvacuationOrders(
                    new EvacuatedDomains(),
                    time.scheduler(),
                    time::nowMillis,
                    () -> 0,
                    CONTACT_MILLIS,
                    () -> {},
                    domain -> {}),
            rollouts,
            records,
            time::nowMillis);

    /** Lists each key as an endpoint and fails for keys that begin with "odd". */
    private static final class FailingDialect implements StoreDialect {
        @Override
        public void read(StoreEntry entry, StoreDocuments receiver) {
            failIfOdd(entry.key());
            receiver.onEndpointListed(
                    new EndpointEntry(
                            entry.key(), "work", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 4, false, 1),
                    1);
        }

        @Override
        public void readDeletion(String key, StoreDocuments receiver) {
            failIfOdd(key);
            receiver.onEndpointUnlisted(key);
        }

        private static void failIfOdd(String key) {
            if (key.startsWith("odd")) {
                throw new IllegalStateException("cannot be read");
            }
        }

        @Override
        public RolloutStatusWriter rolloutStatusWriter(SharedKeyWriter writer) {
            throw new UnsupportedOperationException();
        }
    }

    private void put(String key) {
        contents.onPut(new StoreEntry(key, ByteString.EMPTY, new StoreRevision(0, 1)));
    }

    /** Guards against a list that is no longer followed: an exception would end the loop that reads the store. */
    @Nested
    class KeysThatCannotBeRead {
        @Test
        void doNotKeepOthersFromBeingApplied() {
            time.advance(10_000);
            put("odd-1");
            put("a");
            contents.onDelete("odd-1");
            put("b");
            contents.onDelete("a");

            assertEquals(List.of("b"), List.copyOf(directory.ids()));
        }
    }
}
