package baobabcroft.pace;

import static baobabcroft.pace.PaceFixture.BOUND;
import static baobabcroft.pace.PaceFixture.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.SendGate;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load scenario of all tests: every instance has more requests for the endpoint than its pace allows. */
class EndpointPaceTest {
    private static final EndpointEntry STARTED = endpoint(2);

    private static void assertBound(PaceFixture fleet) {
        assertTrue(fleet.peak() <= BOUND, fleet.peak() + " requests in a second");
    }

    /** Guards against WARMUP: an endpoint that crashes because all instances prefer it while it is idle. */
    @Nested
    class BoundHolds {
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3, 6, 9, 12, 40, 82, 300})
        void ifAllInstancesAgree(int instances) {
            PaceFixture fleet = new PaceFixture(instances, instances).settled();
            fleet.listAll(STARTED, 20_000);
            fleet.run(STARTED, 20_000);

            assertBound(fleet);
            double share = fleet.total() / 20.0 / PaceFixture.RATE;
            assertTrue(share >= (instances < 3 ? 0.35 : 0.7), "only " + share + " of the stated rate");
        }

        /** Instances learn of one another, and lose one another, up to 3.2 s apart; entries arrive as late. */
        @Property(tries = 40, seed = "20261206")
        void whileInstancesJoinAndLeave(@ForAll @IntRange(min = 9, max = 90) int instances, @ForAll Random order) {
            PaceFixture fleet = new PaceFixture(instances, instances).settled();
            fleet.listAll(STARTED, 20_000);
            for (int round = 0; round < 4; round++) {
                ImmutableSet<String> next = shuffled(PaceFixture.names(instances + 4 * round), order, 2);
                fleet.members.stream()
                        .filter(member -> !next.contains(member.name))
                        .forEach(member -> {
                            member.sends = order.nextBoolean();
                        });
                List<PaceFixture.Member> late = new ArrayList<>(fleet.members);
                Collections.shuffle(late, order);
                for (int step = 0; step < 4; step++) {
                    late.subList(late.size() * step / 4, late.size() * (step + 1) / 4)
                            .forEach(member -> member.known = next);
                    fleet.run(STARTED, 800);
                }
            }

            assertBound(fleet);
        }

        private ImmutableSet<String> shuffled(ImmutableSet<String> names, Random order, int without) {
            List<String> list = new ArrayList<>(names);
            Collections.shuffle(list, order);
            return ImmutableSet.copyOf(list.subList(without, list.size()));
        }

        @Test
        void ifTwoInstancesKnowOnlyThemselves() {
            PaceFixture fleet = new PaceFixture(82, 5).settled();
            fleet.members.subList(40, 42).forEach(member -> member.known = ImmutableSet.of(member.name));
            fleet.listAll(STARTED, 20_000);
            fleet.run(STARTED, 20_000);

            assertBound(fleet);
        }

        /** Each of them knows only itself when it has just read the store. */
        @Test
        void ifManyInstancesHaveJustStarted() {
            PaceFixture fleet = new PaceFixture(82, 6);
            fleet.members.subList(0, 40).forEach(member -> member.pace.onContentsRead());
            fleet.nowMillis += 10_000;
            fleet.members.subList(40, 82).forEach(member -> {
                member.known = ImmutableSet.of(member.name);
                member.pace.onContentsRead();
            });
            fleet.listAll(STARTED, 20_000);
            fleet.run(STARTED, 4_000);

            assertBound(fleet);
            double perSecond = fleet.total() / 4.0;
            assertTrue(perSecond >= 0.3 * PaceFixture.RATE, "half of the instances hold shares: " + perSecond);
        }

        @Test
        void ifClocksDrift() {
            PaceFixture fleet = new PaceFixture(82, 7).settled();
            fleet.members.forEach(member -> member.clockRate = 0.98 + 0.04 * fleet.random.nextDouble());
            fleet.listAll(STARTED, 30_000);
            fleet.run(STARTED, 20_000);

            assertBound(fleet);
        }

        @Test
        void ifSomeInstancesKnowOnlyTheFormerStart() {
            PaceFixture fleet = new PaceFixture(82, 8).settled();
            fleet.listAll(endpoint(1), 0);
            fleet.members.forEach(member -> member.pace.onAttemptFailed(endpoint(1), "connection_refused"));
            fleet.members.subList(0, 40).forEach(member -> member.list(STARTED, 3_000));
            fleet.run(STARTED, 3_000);

            assertBound(fleet);
        }

        @Test
        void ifTheEndpointTurnsColdAgainWithTheSameStart() {
            PaceFixture fleet = new PaceFixture(82, 9).settled();
            fleet.listAll(STARTED, 1_000);
            fleet.run(STARTED, 900);
            fleet.listAll(STARTED, 3_000);
            fleet.run(STARTED, 2_900);

            assertBound(fleet);
        }
    }

    /** Guards against WARMUP: it is cold before any instance can have read that. */
    @Nested
    class EndpointThatMayBeCold {
        private final PaceFixture fleet = new PaceFixture(20, 3).settled();
        private final PaceFixture.Member member = fleet.members.get(0);

        private void listOthers() {
            for (int number = 1; number < 6; number++) {
                fleet.listAll(endpoint(number, 1), 0);
            }
        }

        private boolean isPaced() {
            return member.pace.pacedEndpoints() > 0;
        }

        @Test
        void isPacedAfterFailuresUntilANewerEntryIsReceived() {
            listOthers();
            fleet.nowMillis += 10_000;
            member.pace.tick();
            member.pace.onAttemptFailed(endpoint(1, 1), "connection_lost");
            assertTrue(isPaced());
            fleet.nowMillis += 2_000;
            member.list(endpoint(1, 1), 0);
            assertTrue(isPaced(), "ended by an entry that may be older than the failure");
            fleet.nowMillis += 60_000;
            member.pace.tick();
            assertTrue(isPaced(), "ended without an entry");
            member.list(endpoint(1, 1), 0);
            assertFalse(isPaced());
        }

        @Test
        void isPacedAfterFailuresThatOnlyOthersHaveSeen() {
            listOthers();
            fleet.nowMillis += 10_000;
            member.pace.tick();
            member.failsForOthers = endpoint -> endpoint.id().equals("engine-1");
            member.pace.tick();

            assertEquals(1, member.pace.pacedEndpoints());
        }

        /** A link that fails must not leave this instance without endpoints. */
        @Test
        void isNotPacedIfMostEndpointsFail() {
            listOthers();
            fleet.nowMillis += 10_000;
            member.pace.tick();
            member.failsForOthers = endpoint -> true;
            member.pace.tick();

            assertEquals(0, member.pace.pacedEndpoints());
        }

        @Test
        void isPacedAfterTheEvacuationOfItsDomain() {
            listOthers();
            fleet.nowMillis += 10_000;
            member.pace.tick();
            member.pace.onDomainReturned("domain-1");
            assertEquals(1, member.pace.pacedEndpoints());
            fleet.nowMillis += 3_100;
            member.list(endpoint(1, 1), 0);
            member.pace.tick();

            assertEquals(0, member.pace.pacedEndpoints());
            assertTrue(member.ended.contains("returned"));
        }
    }

    @Nested
    class EndpointThatIsNotCold {
        @Test
        void isNotPacedIfItWasListedWhenThisInstanceStarted() {
            PaceFixture fleet = new PaceFixture(20, 1);
            fleet.listAll(STARTED, 0);
            fleet.settled().listAll(STARTED, 0);

            assertEquals(0, fleet.members.get(0).pace.pacedEndpoints());
        }

        /** Endpoints register again after an outage of the store. */
        @Test
        void isNotPacedIfTheSameStartIsListedAgain() {
            PaceFixture fleet = new PaceFixture(20, 1);
            fleet.listAll(STARTED, 0);
            fleet.settled();
            fleet.members.get(0).directory.remove(STARTED.id());
            fleet.members.get(0).list(STARTED, 0);

            assertEquals(0, fleet.members.get(0).pace.pacedEndpoints());
        }

        @Test
        void isNotPacedIfTheServiceStatesNothing() {
            PaceFixture fleet = new PaceFixture(20, 1).settled();
            fleet.warmUp = Optional.empty();
            fleet.listAll(STARTED, 3_000);

            assertEquals(0, fleet.members.get(0).pace.pacedEndpoints());
        }
    }

    /** Load scenario: a service that states nothing, with steady traffic of 16 requests a second at each endpoint. */
    @Nested
    class LearnedRate {
        private final PaceFixture fleet = new PaceFixture(20, 4);
        private final PaceFixture.Member member = fleet.members.get(0);

        private void steadyTraffic() {
            fleet.warmUp = Optional.empty();
            for (int number = 1; number <= 6; number++) {
                fleet.listAll(endpoint(number, 1), 0);
            }
            fleet.settled();
            for (int step = 0; step < 1_000; step++) {
                fleet.nowMillis += 20;
                if (step % 10 == 0) {
                    member.pace.enter(endpoint(1 + step / 10 % 6, 1)).release();
                }
            }
        }

        private long pacedMillis() {
            long start = fleet.nowMillis;
            while (member.pace.pacedEndpoints() > 0 && fleet.nowMillis - start < 60_000) {
                fleet.nowMillis += 250;
                member.pace.tick();
            }
            return fleet.nowMillis - start;
        }

        @Test
        void growsUntilItReachesTheAverage() {
            steadyTraffic();
            member.list(endpoint(1, 2), 0);

            assertEquals(1, member.pace.pacedEndpoints());
            assertEquals(3_000, pacedMillis());
        }

        @Test
        void doesNotGrowWhileFirstOutputsAreLate() {
            steadyTraffic();
            member.list(endpoint(1, 2), 0);
            member.lateMillis = 200;

            assertEquals(15_000, pacedMillis());
        }

        /** Guards against a system that is slower after a restart of everything than without pacing. */
        @Test
        void isNotUsedIfMostEndpointsAreNew() {
            steadyTraffic();
            for (int number = 1; number <= 6; number++) {
                member.list(endpoint(number, 2), 0);
            }

            assertEquals(0, member.pace.pacedEndpoints());
        }
    }

    /** A request may be chosen before the endpoint turns cold, and its connection opens afterwards. */
    @Test
    void requestsAreCheckedAgainWhenTheyAreWritten() {
        PaceFixture fleet = new PaceFixture(82, 1).settled();
        fleet.members.forEach(member -> member.directory.put(STARTED));
        List<SendGate.Pass> passes =
                fleet.members.stream().map(member -> member.pace.enter(STARTED)).toList();
        fleet.listAll(STARTED, 3_000);
        fleet.nowMillis += 1_200;

        assertTrue(passes.stream().filter(SendGate.Pass::confirm).count() <= 10);
    }
}
