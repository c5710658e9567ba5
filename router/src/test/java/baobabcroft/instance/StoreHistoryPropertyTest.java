package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.directory.EvacuatedDomains;
import baobabcroft.external.WriteResult;
import baobabcroft.fake.VirtualTime;
import baobabcroft.replica.FeedTransport;
import baobabcroft.replica.SharedKeyWriter;
import baobabcroft.replica.SimulatedStore;
import baobabcroft.replica.StoreEntry;
import baobabcroft.replica.StoreReplica;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.rollout.RolloutOrder;
import baobabcroft.rollout.RolloutRecord;
import baobabcroft.rollout.RolloutStage;
import baobabcroft.rollout.RolloutStatusWriter;
import baobabcroft.routing.CallerLimits;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.RoutingTableHolder;
import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Checks on random histories of writes, outages, lost and late responses and returns of the store from a copy that
 * nothing that an instance believes moves backwards, and that all instances agree with the store in the end.
 */
class StoreHistoryPropertyTest {
    private static final int INSTANCES = 3;
    private static final String SERVICE = "chat";
    private static final long ROLLOUT_MILLIS = 20_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long COPY_AGE_MILLIS = 3_000;
    private static final long REWRITE_MILLIS = 1_200;
    private static final long SILENCE_MILLIS = 3 * REWRITE_MILLIS;
    private static final long TICK_MILLIS = 250;

    /** What happens at a step of a history. */
    enum Event {
        CONFIGURE,
        REPORT,
        LEAVE,
        END_ENDPOINT,
        RESTART_ENDPOINT,
        ORDER,
        RETURN_FROM_COPY,
        OUTAGE,
        CUT_INSTANCE,
        HOLD_RESPONSES,
        RELEASE_RESPONSES,
        LOSE_WRITE_RESPONSES,
        COMPACT,
        PASS
    }

    /** An event, the endpoint or instance that it is about, and the time until the next one. */
    record Step(Event event, int index, int millis) {}

    @Provide
    static Arbitrary<List<Step>> histories() {
        return Combinators.combine(
                        Arbitraries.of(Event.class),
                        Arbitraries.integers().between(0, INSTANCES - 1),
                        Arbitraries.integers().between(10, 1_500))
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }

    @Property(tries = 300, seed = "20261204")
    void nothingMovesBackwards(@ForAll("histories") List<Step> steps) {
        History history = new History();
        steps.forEach(history::play);
        history.settle();
    }

    /** An endpoint with what it last reported. */
    private static final class Endpoint {
        private final String id;
        private long startedAt = 1;
        private long report;
        private boolean leaving;
        private boolean alive = true;

        private Endpoint(String id) {
            this.id = id;
        }

        private String entry() {
            return startedAt + "," + report + "," + leaving;
        }
    }

    /** The store's keys in the format of this test. */
    private static final class TestDialect implements StoreDialect {
        @Override
        public void read(StoreEntry entry, StoreDocuments receiver) {
            List<String> fields = Splitter.on(',').splitToList(entry.value().toStringUtf8());
            String name = entry.key().substring(entry.key().indexOf('/') + 1);
            if (entry.key().startsWith("config/")) {
                receiver.onConfiguration(RoutingTable.of(
                        Long.parseLong(fields.get(0)), List.of(), Map.of(), CallerLimits.DEFAULT, Map.of(), false));
            } else if (entry.key().startsWith("endpoint/")) {
                EndpointEntry endpoint = new EndpointEntry(
                        name,
                        SERVICE,
                        HostAndPort.fromParts("127.0.0.1", 1),
                        "here",
                        "v1",
                        4,
                        Boolean.parseBoolean(fields.get(2)),
                        Long.parseLong(fields.get(0)));
                receiver.onEndpointListed(endpoint, Long.parseLong(fields.get(1)));
            } else if (entry.key().startsWith("order/")) {
                receiver.onRolloutOrder(new RolloutOrder(SERVICE, fields.get(0), ROLLOUT_MILLIS, entry.revision()));
            } else if (entry.key().startsWith("status/")) {
                receiver.onRolloutStatus(
                        SERVICE, Optional.of(RolloutStage.valueOf(fields.get(1))), fields.get(0), entry.revision());
            } else {
                receiver.onOtherKey(entry);
            }
        }

        @Override
        public void readDeletion(String key, StoreDocuments receiver) {
            if (key.startsWith("endpoint/")) {
                receiver.onEndpointUnlisted(key.substring("endpoint/".length()));
            }
        }

        @Override
        public RolloutStatusWriter rolloutStatusWriter(SharedKeyWriter writer) {
            return (String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback) -> {
                RolloutStage stage = record.stage().isFinal() ? record.stage() : RolloutStage.HOLDING;
                ByteString value = ByteString.copyFromUtf8(record.target() + "," + stage);
                writer.compareAndSwap("status/" + service, expected, value, callback);
            };
        }
    }

    /** What one instance believes. */
    private static final class Believer {
        private final EndpointDirectory directory = new EndpointDirectory();
        private final RoutingTableHolder routing = new RoutingTableHolder();
        private final StoreReplica replica;
        private final Set<String> left = new HashSet<>();
        private long version;

        private Believer(String name, VirtualTime time, SimulatedStore store, int seed) {
            EndpointListUpdater list =
                    new EndpointListUpdater(directory, time.scheduler(), time::nowMillis, CONTACT_MILLIS, unused -> {});
            SharedStoreRecords records = new SharedStoreRecords(name, new DomainRolloutCounts());
            var random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            FleetRollouts rollouts =
                    new FleetRollouts(records, time::nowMillis, time::nowMillis, random, 0.1, () -> INSTANCES);
            CrashTracker crashes = new CrashTracker(
                    time.scheduler(), time::nowMillis, () -> 0.5, (endpoint, callback) -> {}, unused -> {});
            TestDialect dialect = new TestDialect();
            EvacuationOrders evacuations = new EvacuationOrders(
                    new EvacuatedDomains(),
                    time.scheduler(),
                    time::nowMillis,
                    () -> 0,
                    CONTACT_MILLIS,
                    () -> {},
                    domain -> {});
            StoreContents contents =
                    new StoreContents(dialect, routing, list, evacuations, rollouts, records, time::nowMillis);
            FeedTransport noFeed = (address, position, observer) -> FeedTransport.Link.NONE;
            replica = StoreReplica.create(
                    name,
                    0,
                    store.callsOfInstance(name),
                    noFeed,
                    time.scheduler(),
                    time::nowMillis,
                    random::nextDouble,
                    contents);
            records.connect(
                    replica,
                    dialect.rolloutStatusWriter(replica),
                    new SharedStoreRecords.Receivers(rollouts, crashes, new NoPeers()));
            records.publishLocation(new InstanceLocation("127.0.0.1:1", "here", Optional.empty(), 0));
            replica.start();
            tick(rollouts, time);
        }

        private void tick(FleetRollouts rollouts, VirtualTime time) {
            rollouts.tick();
            time.scheduler().schedule(TICK_MILLIS, () -> tick(rollouts, time));
        }

        private void check() {
            long now = routing.current().map(RoutingTable::version).orElse(0L);
            assertTrue(now >= version, "version " + now + " after " + version);
            version = now;
            for (EndpointEntry entry : directory.accepting(SERVICE)) {
                assertFalse(left.contains(incarnation(entry)), "accepts " + entry + " again");
            }
            for (String id : directory.ids()) {
                directory.find(id).filter(EndpointEntry::leaving).ifPresent(entry -> left.add(incarnation(entry)));
            }
        }

        private static String incarnation(EndpointEntry entry) {
            return entry.id() + '#' + entry.startedAtEpochMillis();
        }
    }

    private static final class NoPeers implements SharedStoreRecords.PeerLocations {
        @Override
        public void onLocation(String peer, InstanceLocation location) {}

        @Override
        public void onLocationDeleted(String peer) {}
    }

    private static final class History {
        private final VirtualTime time = new VirtualTime();
        private final SimulatedStore store = new SimulatedStore(time);
        private final List<Believer> believers = new ArrayList<>();
        private final List<Endpoint> endpoints = List.of(new Endpoint("e-0"), new Endpoint("e-1"), new Endpoint("e-2"));
        private final Deque<SimulatedStore.Copy> copies = new ArrayDeque<>();
        private final Map<String, RolloutStage> finalStages = new HashMap<>();
        private long version = 1;
        private int orders;
        private String target = "";

        private History() {
            store.put("config/all", "1");
            endpoints.forEach(this::report);
            for (int i = 0; i < INSTANCES; i++) {
                believers.add(new Believer("instance-" + i, time, store, i));
            }
            advance(2_000);
        }

        private void play(Step step) {
            Endpoint endpoint = endpoints.get(step.index());
            switch (step.event()) {
                case CONFIGURE -> store.put("config/all", "" + ++version);
                case REPORT -> report(endpoint);
                case LEAVE -> {
                    endpoint.leaving = true;
                    report(endpoint);
                }
                case END_ENDPOINT -> {
                    endpoint.alive = false;
                    store.delete("endpoint/" + endpoint.id);
                }
                case RESTART_ENDPOINT -> {
                    endpoint.startedAt++;
                    endpoint.report = 0;
                    endpoint.leaving = false;
                    endpoint.alive = true;
                    report(endpoint);
                }
                case ORDER -> order();
                case RETURN_FROM_COPY -> returnFromCopy();
                case OUTAGE -> {
                    store.setDown(true);
                    time.scheduler().schedule(step.millis() * 2L, () -> store.setDown(false));
                }
                case CUT_INSTANCE -> {
                    store.cut("instance-" + step.index());
                    time.scheduler().schedule(step.millis() * 4L, () -> store.reconnect("instance-" + step.index()));
                }
                case HOLD_RESPONSES -> store.holdResponses();
                case RELEASE_RESPONSES -> store.releaseResponses();
                case LOSE_WRITE_RESPONSES -> {
                    store.losesWriteResponses(true);
                    time.scheduler().schedule(step.millis(), () -> store.losesWriteResponses(false));
                }
                case COMPACT -> store.compact();
                case PASS -> {}
                default -> throw new AssertionError(step);
            }
            advance(step.millis());
        }

        private void report(Endpoint endpoint) {
            if (endpoint.alive) {
                endpoint.report++;
                store.put("endpoint/" + endpoint.id, endpoint.entry());
            }
        }

        private void order() {
            boolean running = !target.isEmpty() && !finalStages.containsKey(target);
            if (!running) {
                target = "v" + (++orders + 1);
                store.put("order/" + SERVICE, target);
            }
        }

        /** Operators and endpoints write theirs again soon afterwards. */
        private void returnFromCopy() {
            store.returnFrom(copies.isEmpty() ? store.copy() : copies.peekFirst());
            copies.clear();
            time.scheduler().schedule(REWRITE_MILLIS, () -> {
                store.put("config/all", "" + version);
                if (!target.isEmpty()) {
                    store.put("order/" + SERVICE, target);
                }
                endpoints.forEach(this::report);
            });
            time.scheduler().schedule(SILENCE_MILLIS, this::removeSilentEndpoints);
        }

        /** The store deletes entries of the copy whose endpoints no longer report. */
        private void removeSilentEndpoints() {
            endpoints.stream()
                    .filter(endpoint -> !endpoint.alive)
                    .filter(endpoint -> store.get("endpoint/" + endpoint.id).isPresent())
                    .forEach(endpoint -> store.delete("endpoint/" + endpoint.id));
        }

        private void advance(long millis) {
            for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
                time.advance(Math.min(TICK_MILLIS, millis - passed));
                copies.addLast(store.copy());
                while (copies.size() > COPY_AGE_MILLIS / TICK_MILLIS) {
                    copies.removeFirst();
                }
                believers.forEach(Believer::check);
                checkStatus();
            }
        }

        /** A rollout that was reported as ended is never reported with another end. */
        private void checkStatus() {
            store.get("status/" + SERVICE).ifPresent(status -> {
                List<String> fields = Splitter.on(',').splitToList(status);
                RolloutStage stage = RolloutStage.valueOf(fields.get(1));
                if (stage.isFinal()) {
                    assertEquals(stage, finalStages.computeIfAbsent(fields.get(0), unused -> stage));
                }
            });
        }

        private void settle() {
            store.releaseResponses();
            store.setDown(false);
            store.losesWriteResponses(false);
            advance(2 * CONTACT_MILLIS + ROLLOUT_MILLIS);
            Set<String> expected = new HashSet<>();
            endpoints.stream()
                    .filter(endpoint -> endpoint.alive && !endpoint.leaving)
                    .forEach(endpoint -> expected.add(endpoint.id));
            for (Believer believer : believers) {
                assertEquals(version, believer.version);
                Set<String> accepting = new HashSet<>();
                believer.directory.accepting(SERVICE).forEach(entry -> accepting.add(entry.id()));
                assertEquals(expected, accepting);
            }
            for (int i = 0; i < INSTANCES; i++) {
                assertTrue(store.get("baobabcroft/instances/instance-" + i).isPresent());
            }
            if (!target.isEmpty()) {
                assertEquals(Optional.of(target + "," + RolloutStage.COMPLETE), store.get("status/" + SERVICE));
            }
        }
    }
}
