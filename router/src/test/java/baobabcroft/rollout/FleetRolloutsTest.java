package baobabcroft.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.external.WriteResult;
import baobabcroft.fake.VirtualTime;
import baobabcroft.relay.AttemptResult;
import baobabcroft.replica.StoreRevision;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetRolloutsTest {
    private static final String SERVICE = "chat";
    private static final long DURATION_MILLIS = 24_000;
    private static final long TICK_MILLIS = 250;
    private static final long NOTIFICATION_DELAY_MILLIS = 300;
    private static final long REPLY_DELAY_MILLIS = 60;
    private static final double EXPOSURE_SHARE = 0.15;
    private static final ImmutableList<EndpointEntry> OPEN =
            ImmutableList.of(endpoint("old-1", "v1"), endpoint("old-2", "v1"), endpoint("new-1", "v2"));

    private final VirtualTime time = new VirtualTime();
    private final List<Instance> fleet = new ArrayList<>();
    private final List<RolloutStage> recordedStages = new ArrayList<>();
    private final List<RolloutStage> statuses = new ArrayList<>();
    /** Writes of the store's two keys, by key; the last one is current. */
    private final Map<String, StoredWrite> stored = new HashMap<>();

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
    private long revision = 10;
    private long era;
    private double replyLossProbability;
    private boolean storeDown;
    private int writeAttempts;
    private final Map<String, RolloutCounts> publishedCounts = new HashMap<>();

    /** A write of a key, and how an instance is notified of it. */
    private record StoredWrite(StoreRevision revision, BiConsumer<Instance, StoreRevision> notification) {}

    /** One instance, which receives notifications of the store unless it is disconnected. */
    private final class Instance implements RolloutWriter {
        private final String name;
        private final FleetRollouts rollouts;
        private boolean disconnected;

        private Instance(String name, long seed) {
            this.name = name;
            this.rollouts = new FleetRollouts(
                    this,
                    time::nowMillis,
                    () -> 1_700_000_000_000L + time.nowMillis(),
                    RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                    EXPOSURE_SHARE,
                    fleet::size);
        }

        private void answer(EndpointEntry endpoint, AttemptResult result) {
            rollouts.monitorAttempt(endpoint, RolloutRoutes.streaming("route", SERVICE))
                    .ended(result);
        }

        @Override
        public void writeRecord(
                String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback) {
            write(
                    this,
                    "record",
                    expected,
                    callback,
                    (instance, written) -> {
                        instance.rollouts.onRecord(service, record, written);
                    },
                    () -> recordedStages.add(record.stage()));
        }

        @Override
        public void writeStatus(
                String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback) {
            RolloutStage stage = record.stage().isFinal() ? record.stage() : RolloutStage.HOLDING;
            write(
                    this,
                    "status",
                    expected,
                    callback,
                    (instance, written) -> {
                        instance.rollouts.onStatus(service, Optional.of(stage), record.target(), written);
                    },
                    () -> statuses.add(stage));
        }

        @Override
        public void publishCounts(String service, RolloutCounts counts) {
            publishedCounts.put(name, counts);
            if (!disconnected && !storeDown) {
                notifyInstances(instance -> {
                    if (instance != this) {
                        instance.rollouts.onCounts(service, name, counts);
                    }
                });
            }
        }
    }

    private void write(
            Instance writer,
            String key,
            StoreRevision expected,
            Consumer<WriteResult> callback,
            BiConsumer<Instance, StoreRevision> notification,
            Runnable onWritten) {
        writeAttempts++;
        if (writer.disconnected || storeDown || expected.era() != era) {
            schedule(REPLY_DELAY_MILLIS, () -> callback.accept(new WriteResult.Unavailable("down")));
            return;
        }
        StoredWrite present = stored.get(key);
        StoreRevision current = present == null ? StoreRevision.absent(era) : present.revision();
        if (!current.equals(expected)) {
            schedule(REPLY_DELAY_MILLIS, () -> callback.accept(new WriteResult.Conflict(Optional.empty())));
            return;
        }
        StoreRevision written = new StoreRevision(era, ++revision);
        stored.put(key, new StoredWrite(written, notification));
        onWritten.run();
        notifyInstances(instance -> notification.accept(instance, written));
        boolean replyLost = random.nextDouble() < replyLossProbability;
        schedule(
                REPLY_DELAY_MILLIS,
                () -> callback.accept(
                        replyLost ? new WriteResult.Unknown("lost") : new WriteResult.Done(written.number())));
    }

    /** The store returns with the given writes of its keys; instances read them after a notification delay. */
    private void returnFromCopy(Map<String, StoredWrite> copy) {
        era++;
        stored.clear();
        copy.forEach((key, write) -> stored.put(
                key, new StoredWrite(new StoreRevision(era, write.revision().number()), write.notification())));
        Map<String, StoredWrite> contents = Map.copyOf(stored);
        notifyInstances(instance -> {
            instance.rollouts.onEraStarted(era);
            contents.values().forEach(write -> write.notification().accept(instance, write.revision()));
        });
    }

    private void schedule(long delayMillis, Runnable task) {
        time.scheduler().schedule(delayMillis, task);
    }

    private void notifyInstances(Consumer<Instance> notification) {
        for (Instance instance : fleet) {
            schedule(NOTIFICATION_DELAY_MILLIS, () -> {
                if (!instance.disconnected) {
                    notification.accept(instance);
                }
            });
        }
    }

    private static EndpointEntry endpoint(String id, String version) {
        return new EndpointEntry(id, SERVICE, HostAndPort.fromParts("127.0.0.1", 1), "here", version, 64, false, 1);
    }

    private RolloutOrder order(long number) {
        return new RolloutOrder(SERVICE, "v2", DURATION_MILLIS, new StoreRevision(era, number));
    }

    private void startRollout(int instances) {
        for (int i = 0; i < instances; i++) {
            fleet.add(new Instance("instance-" + i, i));
        }
        fleet.forEach(instance -> instance.rollouts.onOrder(order(10)));
    }

    private void run(long millis, Runnable eachTick) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            time.advance(TICK_MILLIS);
            fleet.forEach(instance -> instance.rollouts.tick());
            eachTick.run();
        }
    }

    private static String versionFor(Instance instance, String session) {
        return instance.rollouts
                .selectEndpoints(SERVICE, OPEN, Optional.of(session), "r")
                .get(0)
                .version();
    }

    private static void answer(Instance instance, String session, boolean failed) {
        EndpointEntry endpoint = instance.rollouts
                .selectEndpoints(SERVICE, OPEN, Optional.of(session), "r")
                .get(0);
        boolean isFailure = failed && endpoint.version().equals("v2");
        instance.answer(endpoint, isFailure ? AttemptResult.FAILED : AttemptResult.ANSWERED);
    }

    @Nested
    class GoodVersion {
        @Test
        void completesInTimeWithOneWritePerStage() {
            startRollout(9);
            run(DURATION_MILLIS, () -> {});

            assertEquals(
                    List.of(RolloutStage.HOLDING, RolloutStage.TRYING, RolloutStage.MOVING, RolloutStage.COMPLETE),
                    recordedStages);
            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
        }

        @Test
        void completesInTimeDespiteLostReplies() {
            replyLossProbability = 0.5;
            startRollout(9);
            run(DURATION_MILLIS, () -> {});

            assertEquals(RolloutStage.COMPLETE, recordedStages.get(recordedStages.size() - 1));
            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
        }

        /** Guards against a burst of writes: 82 instances find each stage due at the same time. */
        @Test
        void isAdvancedByFewOfManyInstances() {
            startRollout(82);
            run(DURATION_MILLIS, () -> {});

            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
            // With delays drawn uniformly from 1,200 ms, 24 instances would write each stage before they are notified
            // of the first write, and as many would write its status.
            assertTrue(
                    writeAttempts < (recordedStages.size() + statuses.size()) * 10, "write attempts: " + writeAttempts);
        }

        @Test
        void publishesEmptyCountsOnceComplete() {
            startRollout(3);
            run(DURATION_MILLIS + 2_000, () -> fleet.forEach(instance -> answer(instance, "session", false)));

            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
            assertEquals(3, publishedCounts.size());
            publishedCounts
                    .values()
                    .forEach(counts -> assertTrue(counts.routes().isEmpty(), counts.toString()));
        }

        @Test
        void movesNoSessionInFirstHalfAndNoneBack() {
            startRollout(3);
            Map<String, String> last = new HashMap<>();
            long start = time.nowMillis();
            run(DURATION_MILLIS, () -> {
                for (int session = 0; session < 200; session++) {
                    String name = "session-" + session;
                    String version = versionFor(fleet.get(0), name);
                    String before = last.put(name, version);
                    boolean firstHalf = time.nowMillis() - start < DURATION_MILLIS / 2;
                    assertFalse(firstHalf && version.equals("v2"));
                    assertFalse("v2".equals(before) && version.equals("v1"));
                }
            });
        }

        @Test
        void completesWhenOneInstanceIsDisconnected() {
            startRollout(3);
            fleet.get(0).disconnected = true;
            run(DURATION_MILLIS, () -> {});

            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
            assertEquals("v1", versionFor(fleet.get(0), "s"));
        }

        @Test
        void completesAfterStoreOutage() {
            startRollout(3);
            run(11_000, () -> {});
            storeDown = true;
            run(6_000, () -> {});
            storeDown = false;
            run(7_000, () -> {});

            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
        }
    }

    @Nested
    class BadVersion {
        @Test
        void isRevertedWithinExposureShare() {
            startRollout(9);
            int[] requests = {0, 0};
            run(DURATION_MILLIS, () -> {
                for (int i = 0; i < 8; i++) {
                    Instance instance = fleet.get(random.nextInt(fleet.size()));
                    String session = "session-" + random.nextInt(300);
                    requests[0]++;
                    requests[1] += versionFor(instance, session).equals("v2") ? 1 : 0;
                    answer(instance, session, random.nextDouble() < 0.45);
                }
            });

            assertEquals(RolloutStage.REVERTED, statuses.get(statuses.size() - 1));
            assertTrue(requests[1] < EXPOSURE_SHARE * requests[0], requests[1] + " of " + requests[0]);
        }

        @Test
        void isNotUsedByInstanceThatFoundItBadDuringStoreOutage() {
            startRollout(1);
            run(15_000, () -> {});
            storeDown = true;
            Instance instance = fleet.get(0);
            for (int i = 0; i < 30; i++) {
                instance.answer(OPEN.get(2), AttemptResult.FAILED);
            }

            for (int session = 0; session < 100; session++) {
                assertEquals("v1", versionFor(instance, "session-" + session));
            }
        }

        @Test
        void isNotRolledOutAgainByInstanceThatMissedTheRevert() {
            startRollout(2);
            run(15_000, () -> {});
            Instance stale = fleet.get(1);
            stale.disconnected = true;
            for (int i = 0; i < 30; i++) {
                fleet.get(0).answer(OPEN.get(2), AttemptResult.FAILED);
            }
            run(2_000, () -> {});
            // Reconnected, but it has missed the notifications: its own record still shows the previous stage.
            stale.disconnected = false;
            run(8_000, () -> {});

            assertEquals(RolloutStage.REVERTED, recordedStages.get(recordedStages.size() - 1));
            assertFalse(recordedStages.contains(RolloutStage.COMPLETE));
        }

        @Test
        void isDetectedFromCountsOfOtherInstances() {
            startRollout(2);
            run(15_000, () -> {});
            for (int i = 0; i < 30; i++) {
                fleet.get(0).answer(OPEN.get(2), AttemptResult.FAILED);
            }
            fleet.get(0).rollouts.tick();
            time.advance(NOTIFICATION_DELAY_MILLIS);

            assertEquals("v1", versionFor(fleet.get(1), "session-1"));
        }

        @Test
        void isDetectedOnSingleFailingRoute() {
            Map<String, RouteTrials> base = Map.of(
                    "healthy", new RouteTrials(400, 4, 0, 0, 400, 0), "failing", new RouteTrials(50, 1, 0, 0, 50, 0));
            Map<String, RouteTrials> target = Map.of(
                    "healthy", new RouteTrials(60, 0, 0, 0, 60, 0), "failing", new RouteTrials(10, 6, 0, 0, 10, 0));

            assertTrue(VersionComparison.isBad(target, base));
        }
    }

    @Nested
    class HealthyVersion {
        @Test
        void isNotBadIfOldVersionFailsAsOften() {
            Map<String, RouteTrials> base = Map.of("lookup", new RouteTrials(200, 28, 0, 0, 200, 0));
            Map<String, RouteTrials> target = Map.of("lookup", new RouteTrials(40, 6, 0, 0, 40, 0));

            assertFalse(VersionComparison.isBad(target, base));
        }
    }

    @Nested
    class WithoutOrder {
        @Test
        void delaysUseOfNewVersion() {
            FleetRollouts rollouts = new Instance("alone", 1).rollouts;
            rollouts.selectEndpoints(SERVICE, OPEN.subList(0, 2), Optional.empty(), "r");

            assertEquals(
                    2,
                    rollouts.selectEndpoints(SERVICE, OPEN, Optional.empty(), "r")
                            .size());
            time.advance(3_000);
            assertEquals(
                    3,
                    rollouts.selectEndpoints(SERVICE, OPEN, Optional.empty(), "r")
                            .size());
        }
    }

    @Nested
    class LateInstance {
        @Test
        void appliesRecordReceivedBeforeItsOrder() {
            Instance late = new Instance("late", 1);
            late.rollouts.onRecord(
                    SERVICE,
                    new RolloutRecord(0, 10, "v2", 0, RolloutStage.REVERTED, 0, ImmutableSet.of()),
                    new StoreRevision(0, 20));
            late.rollouts.onOrder(order(10));

            assertEquals("v1", versionFor(late, "session-1"));
        }
    }

    /** The store returns from a copy some seconds old and has lost acknowledged writes. */
    @Nested
    class StoreReturnedFromCopy {
        @Test
        void completedRolloutIsNotStartedAgain() {
            startRollout(5);
            run(12_500, () -> {});
            Map<String, StoredWrite> copy = Map.copyOf(stored);
            run(11_500, () -> {});
            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
            recordedStages.clear();
            statuses.clear();
            returnFromCopy(copy);
            fleet.forEach(instance -> instance.rollouts.onOrder(order(10)));
            run(5_000, () -> assertEquals("v2", versionFor(fleet.get(0), "session")));

            assertEquals(List.of(RolloutStage.COMPLETE), recordedStages);
            assertEquals(List.of(RolloutStage.COMPLETE), statuses);
        }

        @Test
        void revertedRolloutIsNotStartedAgainByOrderWrittenAgain() {
            startRollout(5);
            run(15_000, () -> {});
            Map<String, StoredWrite> copy = Map.copyOf(stored);
            for (int i = 0; i < 30; i++) {
                fleet.get(0).answer(OPEN.get(2), AttemptResult.FAILED);
            }
            run(2_000, () -> {});
            assertEquals(RolloutStage.REVERTED, statuses.get(statuses.size() - 1));
            recordedStages.clear();
            returnFromCopy(copy);
            fleet.forEach(instance -> instance.rollouts.onOrder(order(++revision)));
            run(DURATION_MILLIS, () -> assertEquals("v1", versionFor(fleet.get(0), "session")));

            assertEquals(List.of(RolloutStage.REVERTED), recordedStages);
        }

        @Test
        void stageGoesOnWhenEverythingOfTheRolloutWasLost() {
            startRollout(5);
            run(14_000, () -> {});
            returnFromCopy(Map.of());
            fleet.forEach(instance -> instance.rollouts.onOrder(order(3)));
            run(DURATION_MILLIS - 14_000, () -> {});

            assertEquals(RolloutStage.COMPLETE, statuses.get(statuses.size() - 1));
            assertFalse(recordedStages.subList(1, recordedStages.size()).contains(RolloutStage.HOLDING));
        }

        /** An instance that starts after the return sees the order at another revision than the others. */
        @Test
        void newInstanceTakesStageFromRecordWrittenAgain() {
            startRollout(3);
            run(14_000, () -> {});
            returnFromCopy(Map.of());
            run(1_000, () -> {});
            Instance started = new Instance("started", 77);
            StoredWrite record = stored.get("record");
            record.notification().accept(started, record.revision());
            started.rollouts.onOrder(order(3));
            for (int session = 0; session < 100; session++) {
                assertEquals(versionFor(fleet.get(0), "session-" + session), versionFor(started, "session-" + session));
            }
        }

        @Test
        void supersededOrderOfTheCopyIsIgnored() {
            startRollout(3);
            run(DURATION_MILLIS, () -> {});
            RolloutOrder next = new RolloutOrder(SERVICE, "v3", DURATION_MILLIS, new StoreRevision(0, ++revision));
            fleet.forEach(instance -> instance.rollouts.onOrder(next));
            run(2_000, () -> {});
            returnFromCopy(Map.of());
            fleet.forEach(instance -> instance.rollouts.onOrder(order(10)));
            run(2_000, () -> {});

            assertEquals(RolloutStage.HOLDING, recordedStages.get(recordedStages.size() - 1));
            assertEquals("v1", versionFor(fleet.get(0), "session"));
        }

        @Test
        void newOrderOfTheNewEraIsTaken() {
            startRollout(3);
            run(DURATION_MILLIS, () -> {});
            returnFromCopy(Map.of());
            run(2_000, () -> {});
            recordedStages.clear();
            RolloutOrder next = new RolloutOrder(SERVICE, "v3", DURATION_MILLIS, new StoreRevision(era, ++revision));
            fleet.forEach(instance -> instance.rollouts.onOrder(next));
            run(DURATION_MILLIS, () -> {});

            assertEquals(RolloutStage.COMPLETE, recordedStages.get(recordedStages.size() - 1));
        }

        @Test
        void versionFoundBadStaysUnused() {
            startRollout(2);
            run(15_000, () -> {});
            Map<String, StoredWrite> copy = Map.copyOf(stored);
            for (int i = 0; i < 30; i++) {
                fleet.get(0).answer(OPEN.get(2), AttemptResult.FAILED);
            }
            returnFromCopy(copy);
            run(3_000, () -> assertEquals("v1", versionFor(fleet.get(0), "session")));

            assertEquals(RolloutStage.REVERTED, statuses.get(statuses.size() - 1));
        }
    }

    @Nested
    class SameOrderAgain {
        @Test
        void isStartedAgainOnceEndedInTheSameEra() {
            startRollout(3);
            run(DURATION_MILLIS, () -> {});
            recordedStages.clear();
            RolloutOrder again = order(++revision);
            fleet.forEach(instance -> instance.rollouts.onOrder(again));
            run(DURATION_MILLIS, () -> {});

            assertEquals(
                    List.of(RolloutStage.HOLDING, RolloutStage.TRYING, RolloutStage.MOVING, RolloutStage.COMPLETE),
                    recordedStages);
        }

        @Test
        void isTheSameWhileItsRolloutRuns() {
            startRollout(3);
            run(14_000, () -> {});
            RolloutOrder again = order(++revision);
            fleet.forEach(instance -> instance.rollouts.onOrder(again));
            run(DURATION_MILLIS - 14_000, () -> {});

            assertEquals(
                    List.of(RolloutStage.HOLDING, RolloutStage.TRYING, RolloutStage.MOVING, RolloutStage.COMPLETE),
                    recordedStages);
        }
    }
}
