package baobabcroft.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigNodeTest {
    private static final long FRESHNESS_MILLIS = ConfigTimings.defaults().freshnessMillis();

    private final ConfigCluster cluster = new ConfigCluster();

    @BeforeEach
    void startFive() {
        cluster.startAll(5);
    }

    private ProposalResult proposeAndWait(String through, long base, String changeId, long variant) {
        CompletableFuture<ProposalResult> result = cluster.propose(through, base, changeId, variant);
        cluster.time.advance(ConfigCluster.WAIT_MILLIS + 10_000);
        return result.join();
    }

    private void assertNumberEverywhere(long number) {
        cluster.instances.keySet().forEach(name -> assertEquals(number, cluster.number(name), name));
    }

    @Nested
    class Changes {
        @Test
        void changeIsAcceptedByAllAndKeptInHistory() {
            assertEquals(
                    new ProposalResult.Accepted(2, cluster.instances.keySet(), Set.of()),
                    proposeAndWait("i-1", 1, "second", 2));
            assertNumberEverywhere(2);
            assertTrue(cluster.store.peek(ConfigKeys.history(1)).isPresent());
        }

        @Test
        void ofConcurrentChangesOneIsAcceptedAndTheOtherConflicts() {
            CompletableFuture<ProposalResult> one = cluster.propose("i-1", 1, "one", 2);
            CompletableFuture<ProposalResult> other = cluster.propose("i-2", 1, "other", 3);
            cluster.time.advance(ConfigCluster.WAIT_MILLIS);

            assertInstanceOf(ProposalResult.Accepted.class, one.join());
            ConfigDocument shown = ((ProposalResult.Conflict) other.join()).current();
            assertEquals("one", shown.changeId());
        }

        @Test
        void lostReplyIsResolvedByRepeatingTheWrite() {
            cluster.store.loseReplies(2);

            assertInstanceOf(ProposalResult.Accepted.class, proposeAndWait("i-1", 1, "second", 2));
            assertEquals(List.of(1L, 2L), cluster.get("i-3").appliedNumbers);
        }

        @Test
        void repeatedProposalOfASupersededChangeIsAccepted() {
            proposeAndWait("i-1", 1, "second", 2);
            proposeAndWait("i-2", 2, "third", 3);

            assertInstanceOf(ProposalResult.Accepted.class, proposeAndWait("i-4", 1, "second", 2));
            assertNumberEverywhere(3);
        }

        @Test
        void rollBackCreatesANewDocument() {
            proposeAndWait("i-1", 1, "second", 2);

            CompletableFuture<ProposalResult> back = cluster.get("i-2")
                    .service
                    .rollBack(2, 1, "back", "ann", ConfigCluster.WAIT_MILLIS)
                    .toCompletableFuture();
            cluster.time.advance(ConfigCluster.WAIT_MILLIS);

            assertInstanceOf(ProposalResult.Accepted.class, back.join());
            assertNumberEverywhere(3);
            ConfigDocument current =
                    cluster.get("i-5").node.current().orElseThrow().document();
            assertEquals(ConfigCluster.text(1), current.rulesText());
        }

        @Test
        void nothingIsWrittenWhenTheRulesAreFaultyOrTheStoreIsDown() {
            ProposedChange faulty = new ProposedChange(1, "bad", "ann", "test", "nonsense");
            ProposalResult invalid = cluster.get("i-1")
                    .service
                    .propose(faulty, 1_000)
                    .toCompletableFuture()
                    .join();
            cluster.store.setDown(true);
            ProposalResult unavailable = proposeAndWait("i-1", 1, "second", 2);

            assertInstanceOf(ProposalResult.Invalid.class, invalid);
            assertFalse(((ProposalResult.Unavailable) unavailable).mayBeWritten());
            assertNumberEverywhere(1);
        }
    }

    @Nested
    class Faults {
        @Test
        void storeDownRightAfterTheWriteDoesNotStopTheChange() {
            CompletableFuture<ProposalResult> result = cluster.propose("i-1", 1, "second", 2);
            cluster.time.advance(5);
            cluster.store.setDown(true);
            cluster.time.advance(ConfigCluster.WAIT_MILLIS);

            assertInstanceOf(ProposalResult.Accepted.class, result.join());
            assertNumberEverywhere(2);
        }

        @Test
        void deadListedInstanceIsReportedMissingAndDoesNotBlockAChange() {
            cluster.get("i-5").process.kill();

            ProposalResult result = proposeAndWait("i-1", 1, "second", 2);

            assertEquals(Set.of("i-5"), ((ProposalResult.Accepted) result).missing());
        }

        @Test
        void storeOutageDoesNotRevokeAuthority() {
            cluster.store.setDown(true);
            for (int second = 0; second < 600; second++) {
                cluster.time.advance(1_000);
                cluster.instances.keySet().forEach(name -> assertTrue(cluster.acceptsWork(name), name));
            }
        }

        @Test
        void isolatedInstanceLosesAuthorityAndRegainsItWithTheNewNumber() {
            cluster.isolate("i-5");
            cluster.time.advance(FRESHNESS_MILLIS);
            assertFalse(cluster.acceptsWork("i-5"));

            ProposalResult result = proposeAndWait("i-1", 1, "second", 2);
            assertEquals(Set.of("i-5"), ((ProposalResult.Accepted) result).missing());

            cluster.healAll();
            cluster.time.advance(3_000);
            assertTrue(cluster.acceptsWork("i-5"));
            assertEquals(2, cluster.number("i-5"));
        }

        @Test
        void minorityDoesNotBecomeAMajorityWhenTheListShrinksDuringAnOutage() {
            cluster.store.setDown(true);
            for (String lost : List.of("i-1", "i-2", "i-3")) {
                cluster.get(lost).process.kill();
                cluster.unlist(lost);
            }
            cluster.time.advance(60_000);

            assertFalse(cluster.acceptsWork("i-4"));
            assertFalse(cluster.acceptsWork("i-5"));
        }

        @Test
        void pausedInstanceHasNoAuthorityWhenResumed() {
            cluster.get("i-5").process.freeze();
            cluster.time.advance(60_000);
            cluster.get("i-5").process.thaw();

            assertFalse(cluster.acceptsWork("i-5"));
            cluster.time.advance(1_000);
            assertTrue(cluster.acceptsWork("i-5"));
        }

        @Test
        void instanceStartedDuringAStoreOutageFetchesFromPeers() {
            cluster.store.setDown(true);
            cluster.time.advance(5_000);
            cluster.get("i-5").process.kill();
            cluster.start("i-6");
            cluster.time.advance(5_000);

            assertEquals(1, cluster.number("i-6"));
            assertTrue(cluster.acceptsWork("i-6"));
        }

        @Test
        void restartedInstancesFormNoMajorityForTheOldNumber() {
            cluster.isolate("i-4");
            cluster.isolate("i-5");
            proposeAndWait("i-1", 1, "second", 2);
            cluster.store.setDown(true);
            cluster.get("i-3").process.kill();
            cluster.network.healAll();
            for (String lost : List.of("i-1", "i-2")) {
                cluster.start(lost);
                cluster.cutBothWays(lost, "i-3");
            }
            cluster.time.advance(60_000);

            cluster.instances.keySet().forEach(name -> assertFalse(cluster.acceptsWork(name), name));
        }

        @Test
        void storeWithAnOlderDocumentIsOverwrittenAndRevertsNoInstance() {
            ByteString older =
                    cluster.store.peek(ConfigKeys.CURRENT).orElseThrow().value();
            proposeAndWait("i-1", 1, "second", 2);
            cluster.store.put(ConfigKeys.CURRENT, older);
            cluster.time.advance(5_000);

            assertNumberEverywhere(2);
            ByteString restored =
                    cluster.store.peek(ConfigKeys.CURRENT).orElseThrow().value();
            assertEquals(2, ConfigDocument.fromBytes(restored).orElseThrow().number());
        }
    }
}
