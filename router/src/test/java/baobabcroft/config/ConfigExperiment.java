package baobabcroft.config;

import baobabcroft.config.ConfigCluster.Instance;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Measures the duration of a change in virtual time, with nine instances in three regions. Run manually. */
public final class ConfigExperiment {
    private static final int INSTANCES = 9;
    private static final int REGION_SIZE = 3;
    private static final int RUNS = 50;
    private static final long PHASE_MILLIS = 37;
    private static final long LIMIT_MILLIS = 30_000;

    private ConfigExperiment() {}

    /** Durations of one run from the write, in milliseconds. */
    private record Times(long inForceMillis, long acceptedMillis) {}

    /** Prints one line for each scenario. */
    public static void main(String[] args) {
        print("all up", cluster -> {}, cluster -> {});
        print("one dead and still listed", cluster -> cluster.get("i-9").process.kill(), cluster -> {});
        print("store down right after the write", cluster -> {}, cluster -> cluster.store.setDown(true));
        print("a region cut off", ConfigExperiment::cutRegion, cluster -> {});
    }

    private static void print(String name, Consumer<ConfigCluster> before, Consumer<ConfigCluster> afterWrite) {
        long[] inForce = new long[RUNS];
        long[] accepted = new long[RUNS];
        for (int run = 0; run < RUNS; run++) {
            Times times = measure(run * PHASE_MILLIS, before, afterWrite);
            inForce[run] = times.inForceMillis();
            accepted[run] = times.acceptedMillis();
        }
        System.out.printf(
                Locale.ROOT, "%s: in force everywhere %s, accepted %s%n", name, summary(inForce), summary(accepted));
    }

    private static String summary(long[] millis) {
        Arrays.sort(millis);
        return "median " + millis[RUNS / 2] + " ms, greatest " + millis[RUNS - 1] + " ms";
    }

    private static Times measure(long phaseMillis, Consumer<ConfigCluster> before, Consumer<ConfigCluster> afterWrite) {
        ConfigCluster cluster = new ConfigCluster();
        cluster.network.setLinkDelayMillis((from, to) -> region(from) == region(to) ? 1L : 30L);
        cluster.startAll(INSTANCES);
        cluster.time.advance(20_000 + phaseMillis);
        before.accept(cluster);
        CompletableFuture<ProposalResult> result = cluster.propose("i-1", 1, "second", 2);
        while (cluster.store.peek(ConfigKeys.history(1)).isEmpty() || storedNumber(cluster) < 2) {
            cluster.time.advance(1);
        }
        long writtenAtMillis = cluster.time.nowMillis();
        cluster.time.advance(1);
        afterWrite.accept(cluster);
        long inForceAtMillis = -1;
        while (!result.isDone() && cluster.time.nowMillis() - writtenAtMillis < LIMIT_MILLIS) {
            if (inForceAtMillis < 0 && inForce(cluster)) {
                inForceAtMillis = cluster.time.nowMillis();
            }
            cluster.time.advance(1);
        }
        boolean accepted = result.isDone() && result.join() instanceof ProposalResult.Accepted;
        long acceptedMillis = accepted ? cluster.time.nowMillis() - writtenAtMillis : -1;
        return new Times(inForceAtMillis - writtenAtMillis, acceptedMillis);
    }

    /** Returns whether no instance accepts work under the old number. */
    private static boolean inForce(ConfigCluster cluster) {
        return cluster.instances.keySet().stream()
                .allMatch(name -> !cluster.acceptsWork(name) || cluster.number(name) >= 2);
    }

    private static long storedNumber(ConfigCluster cluster) {
        return ConfigDocument.fromBytes(
                        cluster.store.peek(ConfigKeys.CURRENT).orElseThrow().value())
                .orElseThrow()
                .number();
    }

    private static int region(String name) {
        return (Integer.parseInt(name.substring(2)) - 1) / REGION_SIZE;
    }

    /** Disconnects the last region from the other regions and from the store. */
    private static void cutRegion(ConfigCluster cluster) {
        List<String> names = List.copyOf(cluster.instances.keySet());
        for (String one : names) {
            Instance instance = cluster.get(one);
            if (region(one) == 2) {
                instance.client.setDisconnected(true);
                names.stream().filter(other -> region(other) != 2).forEach(other -> cluster.cutBothWays(one, other));
            }
        }
    }
}
