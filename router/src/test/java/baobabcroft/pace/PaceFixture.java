package baobabcroft.pace;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import baobabcroft.relay.SendGate;
import baobabcroft.routing.WarmUp;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Instances in virtual time that send an endpoint as much as its pace allows, over links with jitter. */
final class PaceFixture {
    static final double RATE = 8.8;
    static final double BOUND = 18.2;
    static final long DURATION_MILLIS = 3_000;
    private static final int DOMAINS = 6;
    /** Enough to exceed the bound at once if an instance does not limit its requests. */
    private static final int MAX_REQUESTS_PER_STEP = 20;

    private static final int MAX_CONNECT_MILLIS = 60;
    private static final int MAX_JITTER_MILLIS = 60;

    final List<Member> members = new ArrayList<>();
    final UniformRandomProvider random;
    /** Requests by the time of their arrival at the endpoint, in milliseconds. */
    final TreeMap<Long, Integer> arrivals = new TreeMap<>();

    long nowMillis;
    Optional<WarmUp> warmUp = Optional.of(new WarmUp(DURATION_MILLIS, RATE));

    /** One instance. */
    final class Member {
        final String name;
        final EndpointDirectory directory = new EndpointDirectory();
        final EndpointPace pace;
        final List<String> ended = new ArrayList<>();
        ImmutableSet<String> known;
        double clockRate = 1;
        double lateMillis;
        Predicate<EndpointEntry> failsForOthers = endpoint -> false;
        boolean sends = true;

        Member(String name, String domain, ImmutableSet<String> known) {
            this.name = name;
            this.known = known;
            ImmutableMap.Builder<String, String> regions = ImmutableMap.builder();
            IntStream.range(0, DOMAINS).forEach(i -> regions.put("domain-" + i, "region-" + i / 2));
            PaceFleet fleet = new PaceFleet(name, domain, regions.build(), () -> this.known);
            IntStream.range(0, 400).forEach(i -> fleet.putInstance("instance-" + i, domainOf(i)));
            this.pace = new EndpointPace(
                    fleet,
                    directory,
                    () -> (long) (nowMillis * clockRate),
                    random::nextDouble,
                    service -> warmUp,
                    new Seen(),
                    stated -> stated * 1.5 + 5,
                    new EndpointPace.Listener() {
                        @Override
                        public void onStarted(
                                EndpointEntry endpoint, PaceReason reason, double rate, int holders, boolean holds) {}

                        @Override
                        public void onEnded(EndpointEntry endpoint, PaceReason reason, long millis, int sent) {
                            ended.add(reason.label());
                        }
                    });
        }

        private final class Seen implements EndpointEvidence {
            @Override
            public double reportedFailureRate(EndpointEntry endpoint) {
                return failsForOthers.test(endpoint) ? 0.2 : 0;
            }

            @Override
            public PeerLoads.Load seenByAll(EndpointEntry endpoint) {
                return new PeerLoads.Load(0, 0, reportedFailureRate(endpoint), lateMillis);
            }
        }

        void list(EndpointEntry entry, long remainingMillis) {
            directory.put(entry);
            pace.onEntry(entry, remainingMillis);
        }

        /** Sends all that is allowed now; each request is written when its connection is open. */
        private void sendTo(EndpointEntry endpoint, Map<Long, List<Runnable>> later) {
            int budget = MAX_REQUESTS_PER_STEP;
            while (sends && budget-- > 0 && !pace.isHeldBack(endpoint)) {
                SendGate.Pass pass = pace.enter(endpoint);
                long openMillis = nowMillis + random.nextInt(MAX_CONNECT_MILLIS);
                later.computeIfAbsent(openMillis, at -> new ArrayList<>()).add(() -> {
                    if (pass.confirm()) {
                        arrivals.merge(nowMillis + random.nextInt(MAX_JITTER_MILLIS), 1, Integer::sum);
                    }
                });
            }
        }
    }

    PaceFixture(int instances, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ImmutableSet<String> names = names(instances);
        IntStream.range(0, instances).forEach(i -> members.add(new Member("instance-" + i, domainOf(i), names)));
    }

    static ImmutableSet<String> names(int instances) {
        return IntStream.range(0, instances).mapToObj(i -> "instance-" + i).collect(ImmutableSet.toImmutableSet());
    }

    private static String domainOf(int instance) {
        return "domain-" + instance % DOMAINS;
    }

    static EndpointEntry endpoint(long start) {
        return endpoint(0, start);
    }

    static EndpointEntry endpoint(int number, long start) {
        return new EndpointEntry(
                "engine-" + number,
                "chat",
                HostAndPort.fromParts("127.0.0.1", 9_000 + number),
                "domain-" + number % DOMAINS,
                "v1",
                64,
                false,
                start);
    }

    /** Lets all instances have read the store long ago. */
    PaceFixture settled() {
        members.forEach(member -> member.pace.onContentsRead());
        nowMillis += 10_000;
        return this;
    }

    void listAll(EndpointEntry entry, long remainingMillis) {
        members.forEach(member -> member.list(entry, remainingMillis));
    }

    /** Runs the given time with saturating demand at one endpoint. */
    void run(EndpointEntry endpoint, long millis) {
        TreeMap<Long, List<Runnable>> later = new TreeMap<>();
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            members.forEach(member -> member.sendTo(endpoint, later));
            nowMillis += 5;
            while (!later.isEmpty() && later.firstKey() <= nowMillis) {
                later.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            if (nowMillis % 250 == 0) {
                members.forEach(member -> member.pace.tick());
            }
        }
    }

    /** Returns the greatest number of requests that arrived in any second. */
    int peak() {
        int peak = 0;
        for (long start : arrivals.keySet()) {
            int inSecond = arrivals.subMap(start, start + 1_000).values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            peak = Math.max(peak, inSecond);
        }
        return peak;
    }

    int total() {
        return arrivals.values().stream().mapToInt(Integer::intValue).sum();
    }
}
