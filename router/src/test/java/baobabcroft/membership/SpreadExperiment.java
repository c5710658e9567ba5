package baobabcroft.membership;

import baobabcroft.membership.HeartbeatPlan.Place;
import baobabcroft.peer.proto.Envelope;
import baobabcroft.peer.proto.Heartbeat;
import baobabcroft.peer.proto.HeartbeatAnswer;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/** Measures the rounds and traffic of heartbeats that distribute a change, for several cluster sizes. Run manually. */
public final class SpreadExperiment {
    private static final int[] SIZES = {9, 50, 200, 710};
    private static final int RUNS = 20;
    private static final int REGIONS = 3;
    private static final int DOMAINS_PER_REGION = 3;
    private static final int WATCHERS_PER_REGION = 3;
    private static final int NEAR = 2;
    private static final int FAR = 3;
    private static final int ROUNDS_PER_SECOND = 2;
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final long SEED = 20_261_204L;

    private SpreadExperiment() {}

    /** Prints one line for each size. */
    public static void main(String[] args) {
        for (int size : SIZES) {
            measure(size, 0);
            measure(size, 1);
        }
    }

    private static void measure(int size, int askedWatchersPerRegion) {
        Map<String, Place> places = places(size);
        List<HeartbeatPlan> plans = new ArrayList<>();
        places.keySet().stream()
                .sorted()
                .forEach(name -> plans.add(HeartbeatPlan.of(name, NEAR, FAR, askedWatchersPerRegion)));
        List<String> names = places.keySet().stream().sorted().toList();
        Random random = new Random(SEED);
        int[] rounds = new int[RUNS];
        double messages = 0;
        int played = 0;
        long greatest = 0;
        for (int run = 0; run < RUNS; run++) {
            Map<String, Integer> index = new HashMap<>();
            names.forEach(name -> index.put(name, index.size()));
            boolean[] has = new boolean[size];
            for (int i = 0; i < size; i++) {
                has[i] = places.get(names.get(i)).watchesStore();
            }
            while (!all(has)) {
                boolean[] next = has.clone();
                int[] exchanges = new int[size];
                for (int i = 0; i < size; i++) {
                    for (String target : plans.get(i).targets(places, random)) {
                        int other = index.get(target);
                        exchanges[i]++;
                        exchanges[other]++;
                        next[i] |= has[other];
                        next[other] |= has[i];
                    }
                }
                has = next;
                rounds[run]++;
                played++;
                messages += Arrays.stream(exchanges).average().orElse(0);
                greatest = Math.max(greatest, Arrays.stream(exchanges).max().orElse(0));
            }
        }
        Arrays.sort(rounds);
        double perExchange = requestBytes() + answerBytes();
        System.out.printf(
                Locale.ROOT,
                "%d members, %d watchers asked in each region: %d rounds median, %d at most;"
                        + " mean %.0f bytes/s a node, busiest round of a node %.0f%n",
                size,
                askedWatchersPerRegion,
                rounds[RUNS / 2],
                rounds[RUNS - 1],
                played == 0 ? 0 : messages / played * ROUNDS_PER_SECOND * perExchange,
                greatest * ROUNDS_PER_SECOND * perExchange);
    }

    private static boolean all(boolean[] has) {
        for (boolean one : has) {
            if (!one) {
                return false;
            }
        }
        return true;
    }

    private static Map<String, Place> places(int size) {
        Map<String, Place> places = new HashMap<>();
        for (int i = 0; i < size; i++) {
            int region = i % REGIONS;
            int domain = i / REGIONS % DOMAINS_PER_REGION;
            boolean watches = i / REGIONS < WATCHERS_PER_REGION && i < size / 2;
            String domainName = "fd-" + region + "-" + domain;
            places.put(String.format(Locale.ROOT, "instance-%04d", i), new Place(domainName, "r-" + region, watches));
        }
        return places;
    }

    private static int requestBytes() {
        Heartbeat heartbeat = Heartbeat.newBuilder()
                .setIncarnation(SEED)
                .setConfigNumber(100_000)
                .build();
        return LENGTH_PREFIX_BYTES
                + envelope()
                        .setRequest(PeerRequest.newBuilder().setHeartbeat(heartbeat))
                        .build()
                        .getSerializedSize();
    }

    private static int answerBytes() {
        HeartbeatAnswer answer = HeartbeatAnswer.newBuilder()
                .setIncarnation(SEED)
                .setConfigNumber(100_000)
                .setEstablished(true)
                .build();
        return LENGTH_PREFIX_BYTES
                + envelope()
                        .setReply(PeerReply.newBuilder().setHeartbeat(answer))
                        .build()
                        .getSerializedSize();
    }

    private static Envelope.Builder envelope() {
        return Envelope.newBuilder()
                .setProtocolVersion(1)
                .setCorrelationId(1_000_000)
                .setSender("instance-0001");
    }
}
