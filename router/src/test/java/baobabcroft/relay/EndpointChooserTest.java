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
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointChooserTest {
    private static final long SEED = 11;
    private static final Optional<String> MODEL = Optional.of("large");
    private static final Optional<ServiceProfile> ENGINE =
            Optional.of(new ServiceProfile("engines", 300, 64, 50_000, ImmutableMap.of()));
    private static final Optional<ServiceProfile> PLAIN =
            Optional.of(new ServiceProfile("orders", 100, 0, 0, ImmutableMap.of()));

    private long nowMillis;
    private final PeerLoads others = PeerLoads.create(() -> nowMillis);
    private final EndpointLoads loads = EndpointLoads.create(() -> nowMillis, others, () -> {});
    private final EndpointChooser chooser = new EndpointChooser(
            "here",
            ImmutableMap.of("here", "north", "beside", "north", "away", "south"),
            loads,
            RandomSource.XO_RO_SHI_RO_128_PP.create(SEED));

    private static EndpointEntry endpoint(String id, String domain) {
        return new EndpointEntry(id, "engines", HostAndPort.fromParts("127.0.0.1", 1), domain, "v1", 6, false, 1);
    }

    private static Prompt prompt(String subject, int sharedTokens, int ownTokens) {
        return new Prompt(
                ImmutableList.of(new PromptPart(subject, sharedTokens), new PromptPart("own", ownTokens)),
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
        void leavesAFullPlainEndpointForAnIdleOneElsewhere() {
            EndpointEntry near = endpoint("near", "here");
            for (int i = 0; i < 6; i++) {
                loads.of(near).begin(MODEL, Prompt.NONE, 0);
            }

            assertEquals("far", choose(ImmutableList.of(endpoint("far", "away"), near), PLAIN, Prompt.NONE));
        }
    }

    @Nested
    class PromptCaches {
        @Test
        void returnsToTheEndpointThatKeepsTheSharedPart() {
            EndpointEntry first = endpoint("first", "here");
            EndpointEntry second = endpoint("second", "here");
            Prompt prompt = prompt("subject", 6_000, 500);
            for (EndpointEntry keeper : ImmutableList.of(first, second)) {
                loads.of(keeper)
                        .begin(MODEL, prompt(keeper.id(), 6_000, 500), 50_000)
                        .promptRead();
            }
            loads.of(second).begin(MODEL, prompt, 50_000).promptRead();

            assertEquals("second", choose(ImmutableList.of(first, second), ENGINE, prompt));
        }

        @Test
        void forgetsPartsBeyondTheEnginesMemory() {
            EndpointEntry engine = endpoint("engine", "here");
            loads.of(engine).begin(MODEL, prompt("old", 40_000, 0), 50_000).promptRead();
            loads.of(engine).begin(MODEL, prompt("new", 40_000, 0), 50_000).promptRead();

            assertEquals(40_000, loads.of(engine).tokensToRead(MODEL, prompt("old", 40_000, 0)));
            assertEquals(0, loads.of(engine).tokensToRead(MODEL, prompt("new", 40_000, 0)));
        }

        @Test
        void allInstancesSendANewSubjectToTheSameEndpoint() {
            ImmutableList<EndpointEntry> engines =
                    ImmutableList.of(endpoint("a", "here"), endpoint("b", "here"), endpoint("c", "here"));
            EndpointLoads otherLoads = EndpointLoads.create(() -> nowMillis, others, () -> {});
            EndpointChooser other = new EndpointChooser(
                    "here", ImmutableMap.of(), otherLoads, RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + 1));
            for (int subject = 0; subject < 50; subject++) {
                Prompt prompt = prompt("subject-" + subject, 6_000, 500);
                String there = other.choose(engines, Set.of(), ENGINE, MODEL, prompt)
                        .orElseThrow()
                        .endpoint()
                        .id();
                assertEquals(there, choose(engines, ENGINE, prompt));
            }
        }
    }

    @Nested
    class SharedLoad {
        /** Pattern: an overloaded engine in a domain of three, requests of other instances unseen without notices. */
        @Test
        void countsWhatOtherInstancesHaveUnderWay() {
            EndpointEntry busy = endpoint("busy", "here");
            EndpointEntry idle = endpoint("idle", "here");
            others.updateInstance("instance-2", 1, Map.of(EndpointKey.of("busy"), new Load(5, 3_000)));

            assertEquals("idle", choose(ImmutableList.of(busy, idle), ENGINE, Prompt.NONE));
        }

        @Test
        void forgetsInstancesThatFellSilent() {
            others.updateInstance("instance-2", 1, Map.of(EndpointKey.of("busy"), new Load(5, 3_000)));
            nowMillis += 10_000;

            assertEquals(Load.NONE, others.loadOf(EndpointKey.of("busy")));
        }

        @Test
        void ignoresNoticesThatArriveLate() {
            others.updateInstance("instance-2", 2, Map.of());
            others.updateInstance("instance-2", 1, Map.of(EndpointKey.of("busy"), new Load(5, 3_000)));

            assertEquals(Load.NONE, others.loadOf(EndpointKey.of("busy")));
        }

        /** Pattern: nine instances, 200 requests in a burst, eight engines; against each knowing only its own. */
        @Test
        void spreadsABurstOfAllInstancesBetterThanWithoutNotices() {
            assertTrue(busiestShare(true) < busiestShare(false));
        }

        private double busiestShare(boolean noticesOn) {
            ImmutableList.Builder<EndpointEntry> engines = ImmutableList.builder();
            for (int i = 0; i < 8; i++) {
                engines.add(endpoint("engine-" + i, "here"));
            }
            Map<String, Integer> sends = new HashMap<>();
            PeerLoads[] heard = new PeerLoads[9];
            EndpointLoads[] own = new EndpointLoads[9];
            EndpointChooser[] choosers = new EndpointChooser[9];
            for (int i = 0; i < 9; i++) {
                heard[i] = PeerLoads.create(() -> nowMillis);
                own[i] = EndpointLoads.create(() -> nowMillis, heard[i], () -> {});
                choosers[i] = new EndpointChooser(
                        "here", ImmutableMap.of(), own[i], RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + i));
            }
            for (int request = 0; request < 200; request++) {
                int instance = request % 9;
                // A few subjects are hot, so that rendezvous alone overloads their endpoints.
                Prompt prompt = prompt("subject-" + request % 5, 1_000, 2_000);
                EndpointEntry chosen = choosers[instance]
                        .choose(engines.build(), Set.of(), ENGINE, MODEL, prompt)
                        .orElseThrow()
                        .endpoint();
                own[instance].of(chosen).begin(MODEL, prompt, 300_000);
                sends.merge(chosen.id(), 1, Integer::sum);
                for (int other = 0; noticesOn && other < 9; other++) {
                    if (other != instance) {
                        heard[other].updateInstance("instance-" + instance, request, own[instance].localLoads());
                    }
                }
            }
            return sends.values().stream().mapToInt(Integer::intValue).max().orElse(0) / 200.0;
        }
    }

    @Nested
    class Failures {
        @Test
        void leavesAnEndpointWhoseConnectionsFail() {
            EndpointEntry broken = endpoint("broken", "here");
            loads.of(broken).begin(MODEL, Prompt.NONE, 0).lost();

            assertEquals("far", choose(ImmutableList.of(broken, endpoint("far", "away")), PLAIN, Prompt.NONE));
        }

        @Test
        void takesABrokenEndpointRatherThanNone() {
            EndpointEntry broken = endpoint("broken", "here");
            loads.of(broken).begin(MODEL, Prompt.NONE, 0).lost();

            assertEquals("broken", choose(ImmutableList.of(broken), PLAIN, Prompt.NONE));
        }

        @Test
        void leavesAnEndpointThatOthersSeeFail() {
            EndpointEntry failing = endpoint("failing", "here");
            others.updateInstance("neighbour", 1, Map.of(EndpointKey.of("failing"), new Load(0, 0, 0.4, 0)));

            assertEquals("sound", choose(ImmutableList.of(failing, endpoint("sound", "away")), PLAIN, Prompt.NONE));
        }

        @Test
        void trustsItsOwnOutcomesMoreThanOthers() {
            EndpointEntry endpoint = endpoint("endpoint", "here");
            for (int i = 0; i < 4; i++) {
                loads.of(endpoint).begin(MODEL, Prompt.NONE, 0).answered(false);
            }
            others.updateInstance("neighbour", 1, Map.of(EndpointKey.of("endpoint"), new Load(0, 0, 1, 0)));

            assertEquals("endpoint", choose(ImmutableList.of(endpoint, endpoint("other", "away")), PLAIN, Prompt.NONE));
        }

        /** Pattern: one engine of two in the own domain turns eight times as slow for 6 s, load stays low. */
        @Test
        void leavesAnEngineWhoseOutputsComeLate() {
            EndpointEntry slow = endpoint("slow", "here");
            EndpointEntry sound = endpoint("sound", "here");
            for (int i = 0; i < 4; i++) {
                EndpointLoads.Ticket ticket = loads.of(slow).begin(MODEL, prompt("subject", 1_000, 0), 50_000);
                nowMillis += 900;
                ticket.promptRead();
                ticket.answered(false);
            }

            assertEquals("sound", choose(ImmutableList.of(slow, sound), ENGINE, prompt("subject", 1_000, 0)));
        }

        @Test
        void comesBackToAnEngineThatWasLateAWhileAgo() {
            EndpointEntry slow = endpoint("slow", "here");
            EndpointLoads.Ticket ticket = loads.of(slow).begin(MODEL, prompt("subject", 1_000, 0), 50_000);
            nowMillis += 2_000;
            ticket.promptRead();
            ticket.answered(false);
            nowMillis += 20_000;

            assertEquals(
                    "slow",
                    choose(ImmutableList.of(slow, endpoint("cold", "here")), ENGINE, prompt("subject", 1_000, 0)));
        }

        @Test
        void knowsNothingOfAnEndpointThatStartedAgain() {
            EndpointEntry broken = endpoint("engine", "here");
            loads.of(broken).begin(MODEL, Prompt.NONE, 0).lost();
            EndpointEntry again = new EndpointEntry(
                    "engine", "engines", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 6, false, 2);

            assertNotEquals(true, loads.of(again).isEjected());
        }
    }
}
