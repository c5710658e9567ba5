package baobabcroft.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.external.WriteResult;
import baobabcroft.fake.VirtualTime;
import baobabcroft.relay.AttemptMonitor;
import baobabcroft.relay.AttemptResult;
import baobabcroft.replica.StoreRevision;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which versions one instance uses and stops, without a network. The store accepts each write at once. */
class RolloutExposureTest {
    private static final String SERVICE = "chat";
    private static final long DURATION_MILLIS = 20_000;
    private static final long TICK_MILLIS = 250;

    private final VirtualTime time = new VirtualTime();
    private final List<RolloutRecord> records = new ArrayList<>();
    private final FleetRollouts rollouts = new FleetRollouts(
            new AcceptingWriter(),
            time::nowMillis,
            time::nowMillis,
            RandomSource.XO_RO_SHI_RO_128_PP.create(5),
            0.15,
            () -> 1);
    private long revision = 100;
    private long writeMillis;

    private final class AcceptingWriter implements RolloutWriter {
        @Override
        public void writeRecord(
                String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback) {
            records.add(record);
            Runnable answer = () -> callback.accept(new WriteResult.Done(++revision));
            if (writeMillis == 0) {
                answer.run();
            } else {
                time.scheduler().schedule(writeMillis, answer);
            }
        }

        @Override
        public void writeStatus(
                String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback) {
            callback.accept(new WriteResult.Done(++revision));
        }

        @Override
        public void publishCounts(String service, RolloutCounts counts) {}
    }

    private static EndpointEntry endpoint(String version) {
        return new EndpointEntry(
                "of-" + version, SERVICE, HostAndPort.fromParts("127.0.0.1", 1), "here", version, 64, false, 1);
    }

    private void order(String target) {
        rollouts.onOrder(new RolloutOrder(SERVICE, target, DURATION_MILLIS, new StoreRevision(0, ++revision)));
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            time.advance(TICK_MILLIS);
            rollouts.tick();
        }
    }

    private RolloutStage lastStage() {
        return records.get(records.size() - 1).stage();
    }

    /** Returns how many of a hundred sessions may use an endpoint of a version. */
    private long sessionsUsing(String version, EndpointEntry... open) {
        long using = 0;
        for (int session = 0; session < 100; session++) {
            boolean used =
                    rollouts
                            .selectEndpoints(SERVICE, ImmutableList.copyOf(open), Optional.of("s" + session), "r")
                            .stream()
                            .anyMatch(entry -> entry.version().equals(version));
            using += used ? 1 : 0;
        }
        return using;
    }

    private AttemptMonitor attempt(String version) {
        return rollouts.monitorAttempt(endpoint(version), RolloutRoutes.streaming("route", SERVICE));
    }

    private void fail(String version, int answers) {
        for (int i = 0; i < answers; i++) {
            attempt(version).ended(AttemptResult.FAILED);
        }
    }

    private void revert(String target) {
        order(target);
        run(DURATION_MILLIS * 6 / 10);
        fail(target, 30);
        run(1_000);
        assertEquals(RolloutStage.REVERTED, lastStage());
    }

    /** The old version begins to answer within 250 ms. */
    @Nested
    class SlowVersion {
        private static final long BASE_FIRST_OUTPUT_MILLIS = TICK_MILLIS;

        private void holdWithAnswersOfOldVersion() {
            order("v2");
            for (long passed = 0; passed < DURATION_MILLIS * 55 / 100; passed += BASE_FIRST_OUTPUT_MILLIS) {
                AttemptMonitor attempt = attempt("v1");
                run(BASE_FIRST_OUTPUT_MILLIS);
                attempt.firstOutputReceived();
                attempt.ended(AttemptResult.ANSWERED);
            }
            assertEquals(RolloutStage.TRYING, lastStage());
        }

        /** Sends requests to the new version, half of which get no output, and returns those. */
        private List<AttemptMonitor> sendToNewVersion(int requests) {
            List<AttemptMonitor> silent = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                silent.add(attempt("v2"));
                attempt("v2").ended(AttemptResult.ANSWERED);
            }
            return silent;
        }

        /** Guards against EXPOSURE: callers leave, or the deadline passes, before a slow answer ends. */
        @Test
        void isStoppedAlthoughItsSlowAnswersAreAbandoned() {
            holdWithAnswersOfOldVersion();
            List<AttemptMonitor> silent = sendToNewVersion(20);
            time.advance(1_500);
            silent.forEach(attempt -> attempt.ended(AttemptResult.ABANDONED));
            run(1_000);

            assertEquals(RolloutStage.REVERTED, lastStage());
        }

        /** Guards against EXPOSURE: slow answers end only after the rollout is complete. */
        @Test
        void isStoppedBeforeItsSlowAnswersEnd() {
            holdWithAnswersOfOldVersion();
            sendToNewVersion(20);
            run(2_000);

            assertEquals(RolloutStage.REVERTED, lastStage());
        }

        @Test
        void isNotStoppedByCallersThatLeaveEarly() {
            holdWithAnswersOfOldVersion();
            sendToNewVersion(20).forEach(attempt -> attempt.ended(AttemptResult.ABANDONED));
            run(2_000);

            assertEquals(RolloutStage.TRYING, lastStage());
        }

        /** A disturbance during the rollout must not become the standard for the new version. */
        @Test
        void isStoppedAfterTheOldVersionWasDisturbed() {
            holdWithAnswersOfOldVersion();
            for (int i = 0; i < 10; i++) {
                AttemptMonitor attempt = attempt("v1");
                time.advance(200);
                attempt.ended(AttemptResult.ANSWERED);
            }
            List<AttemptMonitor> disturbed = List.of(attempt("v1"), attempt("v1"), attempt("v1"));
            run(1_000);
            disturbed.forEach(attempt -> attempt.ended(AttemptResult.ANSWERED));
            sendToNewVersion(20);
            run(1_500);

            assertEquals(RolloutStage.REVERTED, lastStage());
        }
    }

    /**
     * The pattern "half of the answers slow, shortly before the end": an order of 14 s, and a new version of which half
     * of the answers begin eight times as late as the old one's.
     */
    @Nested
    class ShortRollout {
        private static final long SHORT_MILLIS = 14_000;
        private static final int REQUESTS_PER_TICK = 10;
        private static final long FIRST_OUTPUT_MILLIS = 500;
        private static final long SLOW_FIRST_OUTPUT_MILLIS = 8 * FIRST_OUTPUT_MILLIS;
        private static final double EXPOSURE_SHARE = 0.15;
        private static final int EXPOSURE_SLACK = 30;

        private int sessions;
        private int sentToTarget;

        private void send() {
            List<EndpointEntry> chosen = rollouts.selectEndpoints(
                    SERVICE, ImmutableList.of(endpoint("v1"), endpoint("v2")), Optional.of("s" + sessions), "r");
            sessions++;
            String version = chosen.get(0).version();
            boolean ofTarget = version.equals("v2");
            sentToTarget += ofTarget ? 1 : 0;
            AttemptMonitor attempt = attempt(version);
            long outputMillis = ofTarget && sentToTarget % 2 == 0 ? SLOW_FIRST_OUTPUT_MILLIS : FIRST_OUTPUT_MILLIS;
            time.scheduler().schedule(outputMillis, () -> {
                attempt.firstOutputReceived();
                attempt.ended(AttemptResult.ANSWERED);
            });
        }

        /** Guards against EXPOSURE: once all requests move, a version is found slow only by answers that are late. */
        @Test
        void staysWithinTheExposureOfTheContract() {
            rollouts.onOrder(new RolloutOrder(SERVICE, "v2", SHORT_MILLIS, new StoreRevision(0, ++revision)));
            for (long passed = 0; passed < SHORT_MILLIS; passed += TICK_MILLIS) {
                for (int i = 0; i < REQUESTS_PER_TICK; i++) {
                    send();
                }
                run(TICK_MILLIS);
            }

            assertEquals(RolloutStage.REVERTED, lastStage());

            assertTrue(sentToTarget <= EXPOSURE_SHARE * sessions + EXPOSURE_SLACK, sentToTarget + " of " + sessions);
        }

        /**
         * The pattern "24 s, nine instances": the first of them writes a stage two thirds of a second after it is due.
         */
        @Test
        void ofAGoodVersionLeavesASecondToASlowStore() {
            writeMillis = 300;
            long durationMillis = 24_000;
            rollouts.onOrder(new RolloutOrder(SERVICE, "v2", durationMillis, new StoreRevision(0, ++revision)));
            run(durationMillis - 1_000);

            assertEquals(RolloutStage.COMPLETE, lastStage());
        }

        @Test
        void ofAGoodVersionIsCompletedInTime() {
            rollouts.onOrder(new RolloutOrder(SERVICE, "v2", SHORT_MILLIS, new StoreRevision(0, ++revision)));
            run(SHORT_MILLIS - 500);

            assertEquals(RolloutStage.COMPLETE, lastStage());
        }
    }

    @Nested
    class Completion {
        /**
         * Guards against EXPOSURE: a version that turns bad under full load has answered too few requests for a proof
         * when completion is due, and after that the old endpoints are gone.
         */
        @Test
        void isRefusedToSuspectVersion() {
            order("v2");
            run(DURATION_MILLIS * 85 / 100);
            assertEquals(RolloutStage.MOVING, lastStage());
            for (int i = 0; i < 40; i++) {
                attempt("v1").ended(AttemptResult.ANSWERED);
            }
            for (int i = 0; i < 18; i++) {
                attempt("v2").ended(AttemptResult.ANSWERED);
            }
            fail("v2", 4);
            run(DURATION_MILLIS * 15 / 100);

            assertEquals(RolloutStage.REVERTED, lastStage());
        }

        @Test
        void isNotRefusedForSingleFailures() {
            order("v2");
            run(DURATION_MILLIS * 85 / 100);
            for (int i = 0; i < 60; i++) {
                attempt("v2").ended(AttemptResult.ANSWERED);
            }
            fail("v2", 2);
            run(DURATION_MILLIS * 15 / 100);

            assertEquals(RolloutStage.COMPLETE, lastStage());
        }
    }

    @Nested
    class RestartedInstance {
        private void receive(String source, long answers, long failed) {
            RolloutRecord record = records.get(records.size() - 1);
            rollouts.onCounts(
                    SERVICE,
                    source,
                    new RolloutCounts(
                            record.order(),
                            ImmutableMap.of("route", new RouteTrials(answers, failed, 0, 0, answers, 0))));
        }

        /** Guards against EXPOSURE: an instance that restarts counts from zero; what it counted is evidence still. */
        @Test
        void doesNotTakeBackItsEvidence() {
            order("v2");
            run(DURATION_MILLIS * 60 / 100);
            receive("peer", 6, 3);
            receive("peer", 1, 0);
            fail("v2", 2);
            run(1_000);

            assertEquals(RolloutStage.REVERTED, lastStage());
        }
    }

    @Nested
    class CrashingEndpoints {
        /**
         * Guards against EXPOSURE: while requests crash the endpoints of the old version, its lost requests must not
         * excuse a new version that answers half of its requests with errors.
         */
        @Test
        void doNotExcuseErrorsOfTheNewVersion() {
            Map<String, RouteTrials> base = Map.of("chat", new RouteTrials(300, 0, 135, 0, 300, 0));
            Map<String, RouteTrials> target = Map.of("chat", new RouteTrials(60, 30, 0, 0, 60, 0));

            assertTrue(VersionComparison.isBad(target, base));
        }
    }

    @Nested
    class RevertedVersion {
        /** Guards against EXPOSURE: endpoints of a reverted version are listed for seconds after the next order. */
        @Test
        void isNotUsedAsOldVersionOfTheNextOrder() {
            revert("v2");
            order("v3");
            run(1_000);

            assertEquals(0, sessionsUsing("v2", endpoint("v1"), endpoint("v2"), endpoint("v3")));
        }

        @Test
        void isUsedWhenOrderedAgain() {
            revert("v2");
            order("v3");
            run(DURATION_MILLIS + 2_000);
            order("v2");
            run(DURATION_MILLIS + 2_000);

            assertEquals(100, sessionsUsing("v2", endpoint("v2"), endpoint("v3")));
        }

        /** An instance that starts during the next rollout knows its record only. */
        @Test
        void isKnownToInstanceThatStartsDuringTheNextRollout() {
            revert("v2");
            order("v3");
            run(1_000);
            RolloutRecord next = records.get(records.size() - 1);

            assertEquals("v3", next.target());
            assertTrue(next.revertedVersions().contains("v2"), next.toString());
        }
    }
}
