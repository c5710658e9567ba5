package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EvacuatedDomains;
import baobabcroft.fake.VirtualTime;
import baobabcroft.replica.ReplicaListener;
import baobabcroft.replica.SimulatedFleet;
import baobabcroft.replica.SimulatedStore;
import baobabcroft.replica.StoreEntry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Orders as four instances of one failure domain see them, of which three follow the one that reads the store. */
class EvacuationFleetTest {
    private static final long CONTACT_MILLIS = 5_000;
    private static final long EVACUATION_MILLIS = 5_000;
    private static final String PREFIX = "evacuate/";
    private static final String KEY = PREFIX + "east-1";
    private static final ImmutableList<String> NAMES = ImmutableList.of("i-1", "i-2", "i-3", "i-4");

    private final VirtualTime time = new VirtualTime();
    private final SimulatedStore store = new SimulatedStore(time);
    private final SimulatedFleet fleet = new SimulatedFleet(time, store, "");
    private final Map<String, EvacuatedDomains> evacuated = new LinkedHashMap<>();

    /** Applies the keys of one instance. */
    private static final class Listener implements ReplicaListener {
        private final EvacuationOrders orders;

        private Listener(EvacuationOrders orders) {
            this.orders = orders;
        }

        @Override
        public void onEraStarted(long era) {
            orders.onEraStarted();
        }

        @Override
        public void onPut(StoreEntry entry) {
            if (entry.key().startsWith(PREFIX)) {
                orders.onOrdered(entry.key().substring(PREFIX.length()));
            }
        }

        @Override
        public void onDelete(String key) {
            if (key.startsWith(PREFIX)) {
                orders.onRemoved(key.substring(PREFIX.length()));
            }
        }

        @Override
        public void onSnapshotEnd() {
            orders.onSnapshotEnd();
        }

        @Override
        public void onUnavailable(String reason) {}

        @Override
        public void onAvailable() {}
    }

    private void start(String name) {
        EvacuatedDomains domains = new EvacuatedDomains();
        evacuated.put(name, domains);
        fleet.start(
                name,
                new Listener(new EvacuationOrders(
                        domains,
                        time.scheduler(),
                        time::nowMillis,
                        () -> fleet.ageMillis(name),
                        CONTACT_MILLIS,
                        () -> {},
                        domain -> {})));
    }

    /** Returns the instances that know the failure domain as evacuated. */
    private ImmutableSet<String> knowing() {
        return evacuated.entrySet().stream()
                .filter(entry -> entry.getValue().contains("east-1"))
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }

    @BeforeEach
    void order() {
        NAMES.forEach(this::start);
        time.advance(10_000);
        assertEquals(3, NAMES.stream().filter(fleet::isFollowing).count());
    }

    private void assertAllKnow() {
        assertEquals(ImmutableSet.copyOf(NAMES), knowing());
    }

    /** Guards against followers that learn of an order too late. */
    @Test
    void reachAllInstancesInTime() {
        store.put(KEY, "{}");
        time.advance(EVACUATION_MILLIS);
        assertAllKnow();
        store.delete(KEY);
        time.advance(EVACUATION_MILLIS);

        assertEquals(ImmutableSet.of(), knowing());
    }

    /** Guards against an order that is forgotten by instances that start after it, or lose the one they follow. */
    @Test
    void areReadByInstancesThatStartAfterwards() {
        store.put(KEY, "{}");
        time.advance(EVACUATION_MILLIS);
        for (String name : NAMES) {
            fleet.kill(name);
            start(name);
            time.advance(EVACUATION_MILLIS);
            assertAllKnow();
        }
    }

    /** Guards against an order that ends because nobody can read it. */
    @Test
    void holdWithoutTheStore() {
        store.put(KEY, "{}");
        time.advance(EVACUATION_MILLIS);
        store.setDown(true);
        time.advance(60_000);
        assertAllKnow();
        store.setDown(false);
        time.advance(10_000);

        assertAllKnow();
    }

    @Nested
    class ReturnFromACopy {
        private SimulatedStore.Copy withoutOrder;

        @BeforeEach
        void copy() {
            withoutOrder = store.copy();
            store.put(KEY, "{}");
            time.advance(EVACUATION_MILLIS);
        }

        /** Guards against requests to the domain from instances that learn of the return by the one they follow. */
        @Test
        void endsAMissingOrderAtNoInstanceBeforeItIsConfirmed() {
            store.returnFrom(withoutOrder);
            time.advance(CONTACT_MILLIS);
            assertAllKnow();
            time.advance(CONTACT_MILLIS);

            assertEquals(ImmutableSet.of(), knowing());
        }

        /** Guards against an order that was written again and ends with the former one. */
        @Test
        void keepsAnOrderThatIsWrittenAgain() {
            store.returnFrom(withoutOrder);
            time.advance(CONTACT_MILLIS / 2);
            store.put(KEY, "{}");
            for (int i = 0; i < 40; i++) {
                time.advance(500);
                assertAllKnow();
            }
        }

        /** Guards against the end of an order while operators cannot write it again. */
        @Test
        void keepsAMissingOrderWhileTheStoreIsOut() {
            store.returnFrom(withoutOrder);
            time.advance(2_000);
            store.setDown(true);
            time.advance(30_000);
            assertAllKnow();
            store.setDown(false);
            time.advance(CONTACT_MILLIS);

            assertEquals(ImmutableSet.of(), knowing(), evacuatedAges());
        }

        private String evacuatedAges() {
            return NAMES.stream()
                    .map(name -> name + ' ' + fleet.ageMillis(name))
                    .collect(Collectors.joining(", "));
        }

        /** Guards against an outage across the return, after which instances meet the copy at different times. */
        @Test
        void afterAnOutageHoldsFromTheFirstContact() {
            store.setDown(true);
            time.advance(20_000);
            store.returnFrom(withoutOrder);
            time.advance(20_000);
            store.setDown(false);
            time.advance(CONTACT_MILLIS);
            assertTrue(knowing().size() == NAMES.size(), knowing().toString());
            time.advance(2 * CONTACT_MILLIS);

            assertEquals(ImmutableSet.of(), knowing());
        }
    }
}
