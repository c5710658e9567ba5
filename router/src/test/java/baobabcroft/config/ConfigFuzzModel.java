package baobabcroft.config;

import static com.google.common.base.Preconditions.checkState;

import baobabcroft.config.ConfigCluster.Instance;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A cluster whose invariants are checked every {@value #STEP_MILLIS} ms of virtual time.
 *
 * <p>The check uses the change of each number, the greatest accepted number, and the numbers that each incarnation
 * applied.
 */
final class ConfigFuzzModel {
    private static final long STEP_MILLIS = 50;
    private static final long SETTLE_MILLIS = 60_000;
    private static final int INSTANCES = 5;

    final ConfigCluster cluster = new ConfigCluster();
    private final Variant variant;
    private final Random random;
    private final Map<Long, String> changeByNumber = new HashMap<>();
    private final Map<Long, String> winnerByBase = new HashMap<>();
    private long accepted;
    private int acceptedChanges;
    private int lastChange = 1;
    private int lastInstance = INSTANCES;

    /** The rule of the protocol that is omitted. */
    enum Variant {
        NONE,
        ACCEPTED_WHEN_WRITTEN,
        NO_FRESHNESS_CHECK,
        MAJORITY_OF_REACHABLE
    }

    ConfigFuzzModel(Variant variant, long seed) {
        this.variant = variant;
        this.random = new Random(seed);
        cluster.network.setDelayMillis(() -> 1 + random.nextInt(40));
        for (int i = 1; i <= INSTANCES; i++) {
            cluster.setListLagMillis("i-" + i, random.nextInt(7_000));
        }
        cluster.startAll(INSTANCES);
        accepted = 1;
    }

    int acceptedChanges() {
        return acceptedChanges;
    }

    List<String> names() {
        return List.copyOf(cluster.instances.keySet());
    }

    private String pick(int choice) {
        return names().get(choice % names().size());
    }

    void propose(int choice, int staleness) {
        String through = pick(choice);
        long base = Math.max(0, cluster.number(through) - staleness);
        String changeId = "c-" + ++lastChange;
        long waitMillis = variant == Variant.ACCEPTED_WHEN_WRITTEN ? 0 : 30_000;
        ProposedChange change = new ProposedChange(base, changeId, "ann", "fuzz", ConfigCluster.text(lastChange));
        Instance instance = cluster.get(through);
        instance.process.run(() -> instance.service.propose(change, waitMillis).thenAccept(result -> {
            proposed(base, changeId, result);
        }));
    }

    private void proposed(long base, String changeId, ProposalResult result) {
        if (result instanceof ProposalResult.Accepted known) {
            wins(base, changeId);
            accepted = Math.max(accepted, known.number());
            acceptedChanges++;
        }
        if (result instanceof ProposalResult.Written written) {
            wins(base, changeId);
            if (variant == Variant.ACCEPTED_WHEN_WRITTEN) {
                accepted = Math.max(accepted, written.number());
            }
        }
        check();
    }

    private void wins(long base, String changeId) {
        String earlier = winnerByBase.putIfAbsent(base, changeId);
        checkState(
                earlier == null || earlier.equals(changeId),
                "changes %s and %s were both written on the same base",
                earlier,
                changeId);
    }

    void restart(int choice) {
        cluster.start(pick(choice));
    }

    void kill(int choice) {
        cluster.get(pick(choice)).process.kill();
    }

    /** Kills an instance and starts another with a new name, as the platform does to replace an instance. */
    void replace(int choice) {
        String old = pick(choice);
        cluster.get(old).process.kill();
        cluster.instances.remove(old);
        cluster.unlist(old);
        String name = "i-" + ++lastInstance;
        cluster.setListLagMillis(name, random.nextInt(7_000));
        cluster.start(name);
    }

    void freeze(int choice) {
        cluster.get(pick(choice)).process.freeze();
    }

    void thaw(int choice) {
        cluster.get(pick(choice)).process.thaw();
        check();
    }

    void isolate(int choice) {
        cluster.isolate(pick(choice));
    }

    void cutFromStore(int choice) {
        cluster.get(pick(choice)).client.setDisconnected(true);
    }

    /** Disconnects the first instances from the others and from the store. */
    void split(int size) {
        List<String> names = names();
        for (String one : names.subList(0, Math.min(size, names.size()))) {
            names.subList(Math.min(size, names.size()), names.size()).forEach(other -> cluster.cutBothWays(one, other));
            cluster.get(one).client.setDisconnected(true);
        }
    }

    /** Advances time and checks the invariants after each step. */
    void advance(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            if (variant == Variant.MAJORITY_OF_REACHABLE) {
                countOnlyReachable();
            }
            cluster.time.advance(STEP_MILLIS);
            check();
        }
    }

    private void countOnlyReachable() {
        long nowNanos = cluster.time.ticker().read();
        for (Instance instance : cluster.instances.values()) {
            Set<String> reachable = Sets.union(instance.node.presenceTable().alive(nowNanos), Set.of(instance.name));
            instance.members.updateListed(reachable, nowNanos);
            instance.members.recordStoreRead(nowNanos + 1_000_000L * ConfigCluster.LIST_LAG_MILLIS);
        }
    }

    private void check() {
        for (String name : names()) {
            Instance instance = cluster.get(name);
            long last = 0;
            for (long number : instance.appliedNumbers) {
                checkState(number > last, "%s applied a number out of order: %s, then %s", name, last, number);
                last = number;
            }
            instance.node.current().ifPresent(config -> checkContent(config.document()));
            checkState(
                    !acceptsWork(name) || cluster.number(name) >= accepted,
                    "%s accepts work under number %s, but %s is accepted, at %s ms",
                    name,
                    cluster.number(name),
                    accepted,
                    cluster.time.nowMillis());
        }
    }

    private void checkContent(ConfigDocument document) {
        String content = document.changeId() + document.rulesText();
        String earlier = changeByNumber.putIfAbsent(document.number(), content);
        checkState(earlier == null || earlier.equals(content), "two documents have number %s", document.number());
    }

    private boolean acceptsWork(String name) {
        if (variant != Variant.NO_FRESHNESS_CHECK) {
            return cluster.acceptsWork(name);
        }
        return cluster.get(name).process.isRunning()
                && cluster.get(name).node.current().isPresent();
    }

    /** Removes all faults; then all instances must accept work under one number, also while only the store is down. */
    void finish() {
        cluster.healAll();
        cluster.store.setLatencyMillis(2);
        cluster.network.setDelayMillis(() -> 5);
        for (String name : names()) {
            cluster.get(name).process.thaw();
            if (cluster.get(name).process.isKilled()) {
                cluster.start(name);
            }
        }
        advance(SETTLE_MILLIS);
        checkAllWork();
        cluster.store.setDown(true);
        for (int second = 0; second < 30; second++) {
            advance(1_000);
            checkAllWork();
        }
    }

    private void checkAllWork() {
        long stored = ConfigDocument.fromBytes(
                        cluster.store.peek(ConfigKeys.CURRENT).orElseThrow().value())
                .orElseThrow()
                .number();
        for (String name : names()) {
            checkState(cluster.acceptsWork(name), "%s takes no work", name);
            checkState(cluster.number(name) == stored, "%s has %s, not %s", name, cluster.number(name), stored);
        }
    }
}
