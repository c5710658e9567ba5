package baobabcroft.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.external.WriteResult;
import baobabcroft.fake.VirtualTime;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetRolloutsTest {
    private static final String SERVICE = "chat";
    private static final long DURATION_MILLIS = 24_000;
    private static final long TICK_MILLIS = 250;
    private static final long NOTICE_MILLIS = 300;
    private static final long REPLY_MILLIS = 60;
    private static final double EXPOSURE = 0.15;
    private static final ImmutableList<EndpointEntry> OPEN =
            ImmutableList.of(endpoint("old-1", "v1"), endpoint("old-2", "v1"), endpoint("new-1", "v2"));

    private final VirtualTime time = new VirtualTime();
    private final List<Instance> fleet = new ArrayList<>();
    private final List<RolloutStage> recorded = new ArrayList<>();
    private final List<RolloutStage> told = new ArrayList<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
    private long revision = 10;
    private double lostReplies;
    private boolean storeDown;
    private int attempts;
    private final Map<String, RolloutCounts> evidence = new HashMap<>();

    /** One instance; the store's notices reach it unless it is cut off. */
    private final class Instance implements RolloutWriter {
        private final String name;
        private final FleetRollouts rollouts;
        private boolean cutOff;

        private Instance(String name, long seed) {
            this.name = name;
            this.rollouts = new FleetRollouts(
                    this,
                    time::nowMillis,
                    () -> 1_700_000_000_000L + time.nowMillis(),
                    RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                    EXPOSURE,
                    fleet::size);
        }

        @Override
        public void writeRecord(
                String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> then) {
            write(this, "record", expectedRevision, then, written -> {
                recorded.add(record.stage());
                tellAll(instance -> instance.rollouts.onRecord(service, record, written));
            });
        }

        @Override
        public void writeStatus(
                String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> then) {
            write(this, "status", expectedRevision, then, written -> {
                RolloutStage stage = record.stage().isFinal() ? record.stage() : RolloutStage.HOLDING;
                told.add(stage);
                tellAll(instance -> instance.rollouts.onStatus(service, Optional.of(stage), record.target(), written));
            });
        }

        @Override
        public void publishCounts(String service, RolloutCounts counts) {
            evidence.put(name, counts);
            if (!cutOff && !storeDown) {
                tellAll(instance -> {
                    if (instance != this) {
                        instance.rollouts.onCounts(service, name, counts);
                    }
                });
            }
        }
    }

    private void write(
            Instance writer, String key, long expectedRevision, Consumer<WriteResult> then, Consumer<Long> apply) {
        attempts++;
        if (writer.cutOff || storeDown) {
            later(REPLY_MILLIS, () -> then.accept(new WriteResult.Unavailable("down")));
            return;
        }
        if (revisions.getOrDefault(key, 0L) != expectedRevision) {
            later(REPLY_MILLIS, () -> then.accept(new WriteResult.Conflict(Optional.empty())));
            return;
        }
        long written = ++revision;
        revisions.put(key, written);
        apply.accept(written);
        boolean lost = random.nextDouble() < lostReplies;
        later(REPLY_MILLIS, () -> then.accept(lost ? new WriteResult.Unknown("lost") : new WriteResult.Done(written)));
    }

    private void later(long delayMillis, Runnable task) {
        time.scheduler().schedule(delayMillis, task);
    }

    private void tellAll(Consumer<Instance> notice) {
        for (Instance instance : fleet) {
            later(NOTICE_MILLIS, () -> {
                if (!instance.cutOff) {
                    notice.accept(instance);
                }
            });
        }
    }

    private static EndpointEntry endpoint(String id, String version) {
        return new EndpointEntry(id, SERVICE, HostAndPort.fromParts("127.0.0.1", 1), "here", version, 64, false, 1);
    }

    private void order(int instances) {
        for (int i = 0; i < instances; i++) {
            fleet.add(new Instance("instance-" + i, i));
        }
        fleet.forEach(instance -> instance.rollouts.onOrder(new RolloutOrder(SERVICE, "v2", DURATION_MILLIS, 10)));
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
        instance.rollouts.recordOutcome(
                endpoint,
                "route",
                Optional.of(session),
                failed && endpoint.version().equals("v2"),
                100);
    }

    @Nested
    class GoodVersion {
        @Test
        void isCompleteInTimeWithOneWriteAStage() {
            order(9);
            run(DURATION_MILLIS, () -> {});

            assertEquals(
                    List.of(RolloutStage.HOLDING, RolloutStage.TRYING, RolloutStage.MOVING, RolloutStage.COMPLETE),
                    recorded);
            assertEquals(RolloutStage.COMPLETE, told.get(told.size() - 1));
        }

        @Test
        void isCompleteInTimeThoughRepliesAreLost() {
            lostReplies = 0.5;
            order(9);
            run(DURATION_MILLIS, () -> {});

            assertEquals(RolloutStage.COMPLETE, recorded.get(recorded.size() - 1));
            assertEquals(RolloutStage.COMPLETE, told.get(told.size() - 1));
        }

        /** Pattern: 82 instances see each stage due at once; against a pause drawn evenly from 1,200 ms. */
        @Test
        void isMovedOnByAFewOfManyInstances() {
            order(82);
            run(DURATION_MILLIS, () -> {});

            assertEquals(RolloutStage.COMPLETE, told.get(told.size() - 1));
            // Evenly drawn, 24 of them write a stage within a notice's time, and as many announce it.
            assertTrue(attempts < (recorded.size() + told.size()) * 10, "attempts: " + attempts);
        }

        @Test
        void isNoMoreTalkedOfWhenItIsComplete() {
            order(3);
            run(DURATION_MILLIS + 2_000, () -> fleet.forEach(instance -> answer(instance, "session", false)));

            assertEquals(RolloutStage.COMPLETE, told.get(told.size() - 1));
            assertEquals(3, evidence.size());
            evidence.values().forEach(counts -> assertTrue(counts.routes().isEmpty(), counts.toString()));
        }

        @Test
        void movesNoSessionInTheFirstHalfAndNoneBack() {
            order(3);
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
        void isFinishedByTheOthersWhenAnInstanceIsCutOff() {
            order(3);
            fleet.get(0).cutOff = true;
            run(DURATION_MILLIS, () -> {});

            assertEquals(RolloutStage.COMPLETE, told.get(told.size() - 1));
            assertEquals("v1", versionFor(fleet.get(0), "s"));
        }

        @Test
        void goesOnAfterAnOutageOfTheStore() {
            order(3);
            run(11_000, () -> {});
            storeDown = true;
            run(6_000, () -> {});
            storeDown = false;
            run(7_000, () -> {});

            assertEquals(RolloutStage.COMPLETE, told.get(told.size() - 1));
        }
    }

    @Nested
    class BadVersion {
        @Test
        void isStoppedWithinItsExposure() {
            order(9);
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

            assertEquals(RolloutStage.REVERTED, told.get(told.size() - 1));
            assertTrue(requests[1] < EXPOSURE * requests[0], requests[1] + " of " + requests[0]);
        }

        @Test
        void getsNothingMoreAtTheInstanceThatSawItFailThoughTheStoreIsDown() {
            order(1);
            run(15_000, () -> {});
            storeDown = true;
            Instance instance = fleet.get(0);
            for (int i = 0; i < 30; i++) {
                instance.rollouts.recordOutcome(OPEN.get(2), "route", Optional.empty(), true, 100);
            }

            for (int session = 0; session < 100; session++) {
                assertEquals("v1", versionFor(instance, "session-" + session));
            }
        }

        @Test
        void isNeverMovedToAgainByAnInstanceThatMissedTheEnd() {
            order(2);
            run(15_000, () -> {});
            Instance stale = fleet.get(1);
            stale.cutOff = true;
            for (int i = 0; i < 30; i++) {
                fleet.get(0).rollouts.recordOutcome(OPEN.get(2), "route", Optional.empty(), true, 100);
            }
            run(2_000, () -> {});
            // Back for writes only: it still believes in the stage before.
            stale.cutOff = false;
            run(8_000, () -> {});

            assertEquals(RolloutStage.REVERTED, recorded.get(recorded.size() - 1));
            assertFalse(recorded.contains(RolloutStage.COMPLETE));
        }

        @Test
        void isSeenByAllFromTheCountsOfEach() {
            order(2);
            run(15_000, () -> {});
            for (int i = 0; i < 30; i++) {
                fleet.get(0).rollouts.recordOutcome(OPEN.get(2), "route", Optional.empty(), true, 100);
            }
            fleet.get(0).rollouts.tick();
            time.advance(NOTICE_MILLIS);

            assertEquals("v1", versionFor(fleet.get(1), "session-1"));
        }

        @Test
        void isFoundOnTheOneRouteThatItSpoils() {
            Map<String, RouteTrials> base =
                    Map.of("good", new RouteTrials(400, 4, 0), "spoilt", new RouteTrials(50, 1, 0));
            Map<String, RouteTrials> target =
                    Map.of("good", new RouteTrials(60, 0, 0), "spoilt", new RouteTrials(10, 6, 0));

            assertTrue(VersionTrial.isBad(target, base));
        }
    }

    @Nested
    class SoundVersion {
        @Test
        void isNotStoppedByFailuresThatTheOldOneHasToo() {
            Map<String, RouteTrials> base = Map.of("lookup", new RouteTrials(200, 28, 0));
            Map<String, RouteTrials> target = Map.of("lookup", new RouteTrials(40, 6, 0));

            assertFalse(VersionTrial.isBad(target, base));
        }
    }

    @Nested
    class WithoutOrder {
        @Test
        void leavesAVersionThatHasJustAppearedForAMoment() {
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
    class StartedLater {
        @Test
        void learnsARecordThatCameBeforeItsOrder() {
            Instance late = new Instance("late", 1);
            late.rollouts.onRecord(SERVICE, new RolloutRecord(10, "v2", RolloutStage.REVERTED, 0), 20);
            late.rollouts.onOrder(new RolloutOrder(SERVICE, "v2", DURATION_MILLIS, 10));

            assertEquals("v1", versionFor(late, "session-1"));
        }
    }
}
