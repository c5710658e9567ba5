package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PartPlacementTest {
    private static final int INSTANCES = 9;

    private final List<EndpointEntry> engines =
            IntStream.range(0, 62).mapToObj(PartPlacementTest::engine).toList();

    private static EndpointEntry engine(int number) {
        return new EndpointEntry(
                "engine-" + number, "engines", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 64, false, 1);
    }

    @Nested
    class Ranking {
        private final PartPlacement placement = new PartPlacement();

        private List<EndpointEntry> rank(List<EndpointEntry> candidates, String part) {
            placement.start(part);
            candidates.forEach(engine -> placement.offer(engine, engine.id().hashCode()));
            return IntStream.range(0, placement.size())
                    .mapToObj(placement::place)
                    .toList();
        }

        /** Guards against instances that list endpoints in different orders and read a part at different ones. */
        @Test
        void doesNotDependOnTheOrderOfTheCandidates() {
            List<EndpointEntry> reversed = ImmutableList.copyOf(engines).reverse();

            assertEquals(rank(engines, "part"), rank(reversed, "part"));
        }

        /** Guards against an endpoint whose end moves all parts, so that all are read again. */
        @Test
        void movesOnlyThePartsOfAnEndpointThatEnds() {
            for (int part = 0; part < 100; part++) {
                List<EndpointEntry> before = rank(engines, "part" + part);
                List<EndpointEntry> after = rank(engines.subList(1, engines.size()), "part" + part);
                assertEquals(before.contains(engines.get(0)), !before.equals(after));
            }
        }

        @Test
        void spreadsParts() {
            Set<EndpointEntry> first = new HashSet<>();
            IntStream.range(0, 1_704)
                    .forEach(part -> first.add(rank(engines, "part" + part).get(0)));

            assertEquals(engines.size(), first.size());
        }
    }

    /** Load: a burst at nine instances of requests that share one part, of which reading takes about half a second. */
    @Nested
    final class HotPart {
        private final PeerLoads[] remote = new PeerLoads[INSTANCES];
        private final EndpointLoads[] loads = new EndpointLoads[INSTANCES];
        private final EndpointChooser[] choosers = new EndpointChooser[INSTANCES];

        private HotPart() {
            for (int i = 0; i < INSTANCES; i++) {
                remote[i] = PeerLoads.create(() -> 0);
                loads[i] = EndpointLoads.create(() -> 0, remote[i], () -> {});
                choosers[i] = new EndpointChooser(
                        "here", ImmutableMap.of(), loads[i], () -> {}, RandomSource.XO_RO_SHI_RO_128_PP.create(i));
            }
        }

        private Set<EndpointEntry> read(int requests) {
            Prompt prompt =
                    new Prompt(ImmutableList.of(new PromptPart("hot", 6_300), new PromptPart("own", 500)), 6_800, 54);
            Set<EndpointEntry> readers = new HashSet<>();
            for (int request = 0; request < requests; request++) {
                int instance = request % INSTANCES;
                EndpointEntry chosen = choosers[instance]
                        .choose(engines, Set.of(), UnevenFleet.PROFILE, Optional.of("large"), prompt)
                        .orElseThrow()
                        .endpoint();
                readers.add(chosen);
                loads[instance].stateOf(chosen).startRequest(Optional.of("large"), prompt, 457_822);
                for (int other = 0; other < INSTANCES; other++) {
                    if (other != instance) {
                        remote[other].updateInstance("i" + instance, request, loads[instance].localLoads());
                    }
                }
            }
            return readers;
        }

        @Test
        void isReadAtOneEndpointWhileThatIsNotBusy() {
            assertEquals(1, read(2).size());
        }

        /** Guards against a first place that queues, and against one that is avoided by reading the part anywhere. */
        @Test
        void isReadAtThreeEndpointsWhenTheFirstIsBusy() {
            int readers = read(5).size();

            assertTrue(readers > 1 && readers <= PartPlacement.MAX_PLACES, () -> readers + " readers");
        }
    }
}
