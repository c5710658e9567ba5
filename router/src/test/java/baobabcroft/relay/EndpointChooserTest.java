package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointChooserTest {
    private static final long SEED = 11;
    private static final Optional<String> MODEL = Optional.of("large");
    private static final Optional<ServiceProfile> ENGINE =
            Optional.of(new ServiceProfile("engines", 300, 64, 50_000, ImmutableMap.of(), Optional.empty()));
    private static final Optional<ServiceProfile> PLAIN =
            Optional.of(new ServiceProfile("orders", 100, 0, 0, ImmutableMap.of(), Optional.empty()));

    private long nowMillis;
    private final PeerLoads remoteLoads = PeerLoads.create(() -> nowMillis);
    private final EndpointLoads loads = EndpointLoads.create(() -> nowMillis, remoteLoads, () -> {});
    private final EndpointChooser chooser = new EndpointChooser(
            "here",
            ImmutableMap.of("here", "north", "beside", "north", "away", "south"),
            loads,
            () -> {},
            RandomSource.XO_RO_SHI_RO_128_PP.create(SEED));

    private static EndpointEntry endpoint(String id, String domain) {
        return new EndpointEntry(id, "engines", HostAndPort.fromParts("127.0.0.1", 1), domain, "v1", 6, false, 1);
    }

    private static Prompt prompt(String sharedPartId, int sharedTokens, int ownTokens) {
        return new Prompt(
                ImmutableList.of(new PromptPart(sharedPartId, sharedTokens), new PromptPart("own", ownTokens)),
                sharedTokens + ownTokens,
                50);
    }

    private String choose(ImmutableList<EndpointEntry> from, Optional<ServiceProfile> profile, Prompt prompt) {
        return chooser.choose(from, Set.of(), profile, MODEL, prompt)
                .orElseThrow()
                .endpoint()
                .id();
    }

    @Nested
    class Distance {
        @Test
        void prefersItsOwnFailureDomain() {
            assertEquals(
                    "near",
                    choose(ImmutableList.of(endpoint("far", "away"), endpoint("near", "here")), PLAIN, Prompt.NONE));
        }

        @Test
        void prefersAnIdleEndpointInAnotherRegionToAFullOne() {
            EndpointEntry near = endpoint("near", "here");
            for (int i = 0; i < 6; i++) {
                loads.stateOf(near).startRequest(MODEL, Prompt.NONE, 0);
            }

            assertEquals("far", choose(ImmutableList.of(endpoint("far", "away"), near), PLAIN, Prompt.NONE));
        }
    }

    @Nested
    class PromptCaches {
        @Test
        void prefersTheEndpointThatHasCachedTheSharedPart() {
            EndpointEntry first = endpoint("first", "here");
            EndpointEntry second = endpoint("second", "here");
            Prompt prompt = prompt("subject", 6_000, 500);
            for (EndpointEntry endpoint : ImmutableList.of(first, second)) {
                loads.stateOf(endpoint)
                        .startRequest(MODEL, prompt(endpoint.id(), 6_000, 500), 50_000)
                        .firstOutputReceived();
            }
            loads.stateOf(second).startRequest(MODEL, prompt, 50_000).firstOutputReceived();

            assertEquals("second", choose(ImmutableList.of(first, second), ENGINE, prompt));
        }

        @Test
        void evictsPartsBeyondTheCacheCapacity() {
            EndpointEntry engine = endpoint("engine", "here");
            loads.stateOf(engine)
                    .startRequest(MODEL, prompt("old", 40_000, 0), 50_000)
                    .firstOutputReceived();
            loads.stateOf(engine)
                    .startRequest(MODEL, prompt("new", 40_000, 0), 50_000)
                    .firstOutputReceived();

            assertEquals(40_000, loads.stateOf(engine).tokensToPrefill(MODEL, prompt("old", 40_000, 0)));
            assertEquals(0, loads.stateOf(engine).tokensToPrefill(MODEL, prompt("new", 40_000, 0)));
        }

        @Test
        void allInstancesSendANewSharedPartToTheSameEndpoint() {
            ImmutableList<EndpointEntry> engines =
                    ImmutableList.of(endpoint("a", "here"), endpoint("b", "here"), endpoint("c", "here"));
            EndpointLoads otherLoads = EndpointLoads.create(() -> nowMillis, remoteLoads, () -> {});
            EndpointChooser other = new EndpointChooser(
                    "here", ImmutableMap.of(), otherLoads, () -> {}, RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + 1));
            for (int part = 0; part < 50; part++) {
                Prompt prompt = prompt("subject-" + part, 6_000, 500);
                String chosenByOther = other.choose(engines, Set.of(), ENGINE, MODEL, prompt)
                        .orElseThrow()
                        .endpoint()
                        .id();
                assertEquals(chosenByOther, choose(engines, ENGINE, prompt));
            }
        }
    }

    /** Instances in two regions, each with an engine, that know only their own requests. */
    @Nested
    class PartsSharedAcrossRegions {
        private static final int PARTS = 60;
        private static final int ENGINES_PER_REGION = 3;

        private final ImmutableList<EndpointEntry> engines = engines();

        private static ImmutableList<EndpointEntry> engines() {
            ImmutableList.Builder<EndpointEntry> engines = ImmutableList.builder();
            for (int i = 0; i < ENGINES_PER_REGION; i++) {
                engines.add(endpoint("north-" + i, "here"), endpoint("south-" + i, "away"));
            }
            return engines.build();
        }

        private EndpointChooser instanceIn(String domain) {
            return new EndpointChooser(
                    domain,
                    ImmutableMap.of("here", "north", "away", "south"),
                    EndpointLoads.create(() -> nowMillis, remoteLoads, () -> {}),
                    () -> {},
                    RandomSource.XO_RO_SHI_RO_128_PP.create(SEED));
        }

        /** Returns for how many parts the instances of both regions choose the same engine. */
        private long agreements(int sharedTokens) {
            EndpointChooser north = instanceIn("here");
            EndpointChooser south = instanceIn("away");
            return IntStream.range(0, PARTS)
                    .mapToObj(part -> prompt("subject-" + part, sharedTokens, 300))
                    .filter(prompt -> chosen(north, prompt).equals(chosen(south, prompt)))
                    .count();
        }

        private String chosen(EndpointChooser chooser, Prompt prompt) {
            return chooser.choose(engines, Set.of(), ENGINE, MODEL, prompt)
                    .orElseThrow()
                    .endpoint()
                    .id();
        }

        @Test
        void areSentToOneEngineWhenReadingThemTakesLong() {
            assertEquals(PARTS, agreements(8_000));
        }

        @Test
        void areKeptInEachRegionWhenReadingThemIsShort() {
            assertEquals(0, agreements(800));
        }

        /** Only the shared part can have been read before. */
        @Test
        void areNotPreferredForTheRequestsOwnTokens() {
            EndpointChooser north = instanceIn("here");
            for (int part = 0; part < PARTS; part++) {
                assertTrue(chosen(north, prompt("subject-" + part, 10, 20_000)).startsWith("north"));
            }
        }
    }

    @Nested
    class SharedLoad {
        /**
         * Without load notices, the instances of a failure domain do not see each other's requests and overload an
         * engine.
         */
        @Test
        void countsInFlightRequestsOfOtherInstances() {
            EndpointEntry busy = endpoint("busy", "here");
            EndpointEntry idle = endpoint("idle", "here");
            remoteLoads.updateInstance("instance-2", 1, Map.of(EndpointKey.of("busy"), new Load(5, 3_000)));

            assertEquals("idle", choose(ImmutableList.of(busy, idle), ENGINE, Prompt.NONE));
        }

        @Test
        void ignoresLoadsOfInstancesThatStoppedReporting() {
            remoteLoads.updateInstance("instance-2", 1, Map.of(EndpointKey.of("busy"), new Load(5, 3_000)));
            nowMillis += 10_000;

            assertEquals(Load.NONE, remoteLoads.loadOf(EndpointKey.of("busy")));
        }

        @Test
        void ignoresNoticesThatArriveOutOfOrder() {
            remoteLoads.updateInstance("instance-2", 2, Map.of());
            remoteLoads.updateInstance("instance-2", 1, Map.of(EndpointKey.of("busy"), new Load(5, 3_000)));

            assertEquals(Load.NONE, remoteLoads.loadOf(EndpointKey.of("busy")));
        }

        /**
         * A burst of 200 requests at nine instances with eight engines, compared with instances that know only their
         * own load.
         */
        @Test
        void spreadsABurstOfAllInstancesBetterThanWithoutNotices() {
            assertTrue(shareOfBusiestEngine(true) < shareOfBusiestEngine(false));
        }

        private double shareOfBusiestEngine(boolean withNotices) {
            ImmutableList.Builder<EndpointEntry> engines = ImmutableList.builder();
            for (int i = 0; i < 8; i++) {
                engines.add(endpoint("engine-" + i, "here"));
            }
            Map<String, Integer> requestsByEngine = new HashMap<>();
            PeerLoads[] remoteLoadsByInstance = new PeerLoads[9];
            EndpointLoads[] own = new EndpointLoads[9];
            EndpointChooser[] choosers = new EndpointChooser[9];
            for (int i = 0; i < 9; i++) {
                remoteLoadsByInstance[i] = PeerLoads.create(() -> nowMillis);
                own[i] = EndpointLoads.create(() -> nowMillis, remoteLoadsByInstance[i], () -> {});
                choosers[i] = new EndpointChooser(
                        "here", ImmutableMap.of(), own[i], () -> {}, RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + i));
            }
            for (int request = 0; request < 200; request++) {
                int instance = request % 9;
                // With only five shared parts, rendezvous hashing alone overloads their endpoints.
                Prompt prompt = prompt("subject-" + request % 5, 1_000, 2_000);
                EndpointEntry chosen = choosers[instance]
                        .choose(engines.build(), Set.of(), ENGINE, MODEL, prompt)
                        .orElseThrow()
                        .endpoint();
                own[instance].stateOf(chosen).startRequest(MODEL, prompt, 300_000);
                requestsByEngine.merge(chosen.id(), 1, Integer::sum);
                for (int other = 0; withNotices && other < 9; other++) {
                    if (other != instance) {
                        remoteLoadsByInstance[other].updateInstance(
                                "instance-" + instance, request, own[instance].localLoads());
                    }
                }
            }
            return requestsByEngine.values().stream()
                            .mapToInt(Integer::intValue)
                            .max()
                            .orElse(0)
                    / 200.0;
        }
    }

    /** Load: a plain service of 43 ms a request, whose endpoint here has six slots. */
    @Nested
    final class PlainServices {
        private final EndpointEntry near = endpoint("near", "here");
        private final ImmutableList<EndpointEntry> both = ImmutableList.of(endpoint("far", "away"), near);

        private PlainServices() {
            for (int i = 0; i < 40; i++) {
                EndpointLoads.InFlightRequest request =
                        loads.stateOf(near).startRequest(Optional.empty(), Prompt.NONE, 0);
                nowMillis += 43;
                request.answered(false);
            }
        }

        private String choiceAt(int inFlight) {
            remoteLoads.updateInstance("neighbour", inFlight, Map.of(EndpointKey.of("near"), new Load(inFlight, 0)));
            return choose(both, PLAIN, Prompt.NONE);
        }

        /** Guards against requests that cross regions although a slot is free: four in flight counted as 200 ms. */
        @Test
        void areServedInTheirRegionWhileSlotsAreFree() {
            assertEquals("near", choiceAt(5));
        }

        @Test
        void areLeftForAnotherRegionWhenTheWaitIsLongerThanTheWay() {
            assertEquals("far", choiceAt(30));
        }
    }

    /** Load: an engine of 0.6 times the usual speed beside one of 1.6 times, both with streams under way. */
    @Nested
    final class UnevenSpeeds {
        private final EndpointEntry slow = endpoint("slow", "here");
        private final EndpointEntry fast = endpoint("fast", "here");

        private UnevenSpeeds() {
            for (int i = 0; i < 20; i++) {
                serve(slow, 167);
                serve(fast, 62);
            }
        }

        private void serve(EndpointEntry engine, long prefillMillis) {
            EndpointLoads.InFlightRequest request = loads.stateOf(engine).startRequest(MODEL, prompt("s", 0, 5_000), 0);
            nowMillis += prefillMillis;
            request.firstOutputReceived();
            request.answered(false);
        }

        /** Guards against engines that are compared by the number of requests although one takes longer for each. */
        @Test
        void areComparedByTimeAndNotByRequestsInFlight() {
            remoteLoads.updateInstance(
                    "neighbour",
                    1,
                    Map.of(EndpointKey.of("slow"), new Load(9, 0), EndpointKey.of("fast"), new Load(12, 0)));

            assertEquals("fast", choose(ImmutableList.of(slow, fast), ENGINE, prompt("s", 0, 100)));
        }
    }

    @Nested
    class Failures {
        @Test
        void avoidsAnEndpointWhoseConnectionsFail() {
            EndpointEntry broken = endpoint("broken", "here");
            loads.stateOf(broken).startRequest(MODEL, Prompt.NONE, 0).failed();

            assertEquals("far", choose(ImmutableList.of(broken, endpoint("far", "away")), PLAIN, Prompt.NONE));
        }

        @Test
        void choosesAnEjectedEndpointIfThereIsNoOther() {
            EndpointEntry broken = endpoint("broken", "here");
            loads.stateOf(broken).startRequest(MODEL, Prompt.NONE, 0).failed();

            assertEquals("broken", choose(ImmutableList.of(broken), PLAIN, Prompt.NONE));
        }

        @Test
        void avoidsAnEndpointThatOtherInstancesReportAsFailing() {
            EndpointEntry failing = endpoint("failing", "here");
            remoteLoads.updateInstance("neighbour", 1, Map.of(EndpointKey.of("failing"), new Load(0, 0, 0.4, 0)));

            assertEquals("sound", choose(ImmutableList.of(failing, endpoint("sound", "away")), PLAIN, Prompt.NONE));
        }

        @Test
        void prefersOwnOutcomesToReportsOfOtherInstances() {
            EndpointEntry endpoint = endpoint("endpoint", "here");
            for (int i = 0; i < 4; i++) {
                loads.stateOf(endpoint).startRequest(MODEL, Prompt.NONE, 0).answered(false);
            }
            remoteLoads.updateInstance("neighbour", 1, Map.of(EndpointKey.of("endpoint"), new Load(0, 0, 1, 0)));

            assertEquals("endpoint", choose(ImmutableList.of(endpoint, endpoint("other", "away")), PLAIN, Prompt.NONE));
        }

        /** One of two engines becomes eight times as slow for 6 s at low load, which only its late outputs show. */
        @Test
        void avoidsAnEngineWithLateOutputs() {
            EndpointEntry slow = endpoint("slow", "here");
            EndpointEntry sound = endpoint("sound", "here");
            for (int i = 0; i < 4; i++) {
                EndpointLoads.InFlightRequest inFlightRequest =
                        loads.stateOf(slow).startRequest(MODEL, prompt("subject", 1_000, 0), 50_000);
                nowMillis += 900;
                inFlightRequest.firstOutputReceived();
                inFlightRequest.answered(false);
            }

            assertEquals("sound", choose(ImmutableList.of(slow, sound), ENGINE, prompt("subject", 1_000, 0)));
        }

        @Test
        void choosesAnEngineAgainAfterItsDelayHasDecayed() {
            EndpointEntry slow = endpoint("slow", "here");
            EndpointLoads.InFlightRequest inFlightRequest =
                    loads.stateOf(slow).startRequest(MODEL, prompt("subject", 1_000, 0), 50_000);
            nowMillis += 2_000;
            inFlightRequest.firstOutputReceived();
            inFlightRequest.answered(false);
            nowMillis += 20_000;

            assertEquals(
                    "slow",
                    choose(ImmutableList.of(slow, endpoint("cold", "here")), ENGINE, prompt("subject", 1_000, 0)));
        }

        @Test
        void resetsTheStateOfARestartedEndpoint() {
            EndpointEntry broken = endpoint("engine", "here");
            loads.stateOf(broken).startRequest(MODEL, Prompt.NONE, 0).failed();
            EndpointEntry restarted = new EndpointEntry(
                    "engine", "engines", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 6, false, 2);

            assertNotEquals(true, loads.stateOf(restarted).isEjected());
        }
    }
}
