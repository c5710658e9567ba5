package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import baobabcroft.pace.EndpointEvidence;
import baobabcroft.pace.EndpointPace;
import baobabcroft.pace.PaceFleet;
import baobabcroft.pace.PaceReason;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import baobabcroft.routing.WarmUp;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Whole requests of 24 instances without a network, which prefer the endpoint that has just started. */
class PacedEndpointsFleetTest {
    private static final int INSTANCES = 24;
    private static final WarmUp WARM_UP = new WarmUp(60_000, 8.8);
    private static final double BOUND = 18.2;
    private static final long STEP_MILLIS = 10;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(20261206);
    private final ForwardingFleet fleet = ForwardingFleet.create(INSTANCES, random);
    private final List<EndpointPace> paces = new ArrayList<>();
    private final List<Caller> callers = new ArrayList<>();
    private final int[] seen = new int[INSTANCES];
    private final ImmutableMap<String, TreeMap<Long, Integer>> arrivals =
            ImmutableMap.of("orders-1", new TreeMap<>(), "orders-2", new TreeMap<>(), "orders-3", new TreeMap<>());

    private void create() {
        ImmutableSet<String> names =
                IntStream.range(0, INSTANCES).mapToObj(i -> "instance-" + i).collect(ImmutableSet.toImmutableSet());
        for (ForwardingFleet.Member member : fleet.members) {
            RelayFixture relay = member.relay;
            PaceFleet known =
                    new PaceFleet("instance-" + paces.size(), relay.failureDomain, ImmutableMap.of(), () -> names);
            IntStream.range(0, INSTANCES).forEach(i -> known.putInstance("instance-" + i, "domain-" + (1 + i % 3)));
            EndpointPace pace = new EndpointPace(
                    known,
                    relay.directory,
                    relay::now,
                    random::nextDouble,
                    service -> Optional.of(WARM_UP),
                    new EndpointEvidence() {
                        @Override
                        public double reportedFailureRate(EndpointEntry endpoint) {
                            return 0;
                        }

                        @Override
                        public PeerLoads.Load seenByAll(EndpointEntry endpoint) {
                            return PeerLoads.Load.NONE;
                        }
                    },
                    stated -> BOUND,
                    new EndpointPace.Listener() {
                        @Override
                        public void onStarted(
                                EndpointEntry endpoint, PaceReason reason, double rate, int holders, boolean holds) {}

                        @Override
                        public void onEnded(EndpointEntry endpoint, PaceReason reason, long millis, int sent) {}
                    });
            relay.availability.limitSends(pace);
            relay.otherRule = (endpoint, request) ->
                    pace.isHeldBack(endpoint) ? Optional.of(Ineligibility.PACED) : Optional.empty();
            pace.onContentsRead();
            paces.add(pace);
        }
        fleet.advance(10_000);
    }

    private void listCold(int number) {
        for (int i = 0; i < INSTANCES; i++) {
            paces.get(i).onEntry(RelayFixture.endpoint("orders", number), 60_000);
        }
    }

    /** Lets requests arrive at random instances, and endpoints answer each within one step. */
    private void run(long millis, double requestsPerSecond) {
        for (long step = 0; step < millis / STEP_MILLIS; step++) {
            if (random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1_000) {
                Caller caller = new Caller();
                callers.add(caller);
                fleet.members.get(random.nextInt(INSTANCES)).relay.start("/order/1", caller);
            }
            fleet.advance(STEP_MILLIS);
            for (int i = 0; i < INSTANCES; i++) {
                List<SentRequest> sent = fleet.members.get(i).relay.sentRequests;
                for (SentRequest request : sent.subList(seen[i], sent.size())) {
                    arrivals.get(request.endpoint.id()).merge(request.sentAtMillis, 1, Integer::sum);
                    request.answer(200, "done");
                }
                seen[i] = sent.size();
            }
        }
        fleet.advance(100);
    }

    private int sentTo(String endpoint) {
        return arrivals.get(endpoint).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    private long answered() {
        return callers.stream().filter(caller -> caller.status == 200).count();
    }

    private void assertBound(String... coldEndpoints) {
        for (String endpoint : coldEndpoints) {
            TreeMap<Long, Integer> times = arrivals.get(endpoint);
            for (long start : times.keySet()) {
                int inSecond = times.subMap(start, start + 1_000).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
                assertTrue(inSecond <= BOUND, endpoint + " got " + inSecond + " requests in a second");
            }
        }
    }

    /** Guards against WARMUP: the endpoint is overloaded, or left idle, or requests are refused because of it. */
    @Test
    void instancesWithoutAShareUseOtherEndpoints() {
        create();
        listCold(1);
        run(10_000, 60);

        assertBound("orders-1");
        assertEquals(callers.size(), answered());
        assertTrue(sentTo("orders-1") >= 30, "cold endpoint got " + sentTo("orders-1") + " in 10 s");
        assertEquals(
                0,
                fleet.members.stream().mapToLong(member -> member.forwardedIn).sum());
    }

    /** Guards against WARMUP and needless refusals: all endpoints of a service are cold. */
    @Test
    void requestsAreForwardedToAHolderIfNoOtherEndpointIsLeft() {
        create();
        listCold(1);
        listCold(2);
        listCold(3);
        run(10_000, 15);

        assertBound("orders-1", "orders-2", "orders-3");
        assertTrue(answered() >= 0.8 * callers.size(), answered() + " answered of " + callers.size());
        assertTrue(
                fleet.members.stream().mapToLong(member -> member.forwardedIn).sum() > 0, "nothing forwarded");
    }
}
