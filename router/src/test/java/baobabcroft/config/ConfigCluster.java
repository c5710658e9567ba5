package baobabcroft.config;

import baobabcroft.fake.FakePeerNetwork;
import baobabcroft.fake.FakeProcess;
import baobabcroft.fake.FakeStore;
import baobabcroft.fake.FakeStoreClient;
import baobabcroft.fake.VirtualTime;
import baobabcroft.membership.Members;
import baobabcroft.rules.RulesParser;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/** A cluster of instances with a fake store, a fake network and a delayed live list, in virtual time. */
final class ConfigCluster {
    static final long LIST_LAG_MILLIS = 10_000;
    static final long WAIT_MILLIS = 20_000;
    private static final long LIST_POLL_MILLIS = 1_000;

    final VirtualTime time = new VirtualTime();
    final FakeStore store = new FakeStore(time);
    final FakePeerNetwork network = new FakePeerNetwork(time);
    final Map<String, Instance> instances = new TreeMap<>();
    private final TreeSet<String> list = new TreeSet<>();
    private final TreeMap<Long, Set<String>> listHistory = new TreeMap<>();
    private final Map<String, Long> listLagMillis = new HashMap<>();
    private long nextIncarnation = 1;

    /** One incarnation of an instance. */
    static final class Instance {
        final String name;
        final FakeProcess process;
        final FakeStoreClient client;
        final Members members;
        final ConfigNode node;
        final ConfigService service;
        final List<Long> appliedNumbers = new ArrayList<>();

        private Instance(
                String name,
                FakeProcess process,
                FakeStoreClient client,
                Members members,
                ConfigNode node,
                ConfigService service) {
            this.name = name;
            this.process = process;
            this.client = client;
            this.members = members;
            this.node = node;
            this.service = service;
            node.addListener(config -> appliedNumbers.add(config.number()));
        }
    }

    static String text(long variant) {
        return "failure-domain fd-" + variant + " region=north # ann: variant " + variant;
    }

    /** Sets the delay with which an instance sees the platform's list. */
    void setListLagMillis(String name, long lagMillis) {
        listLagMillis.put(name, lagMillis);
    }

    /** Starts instances i-1 to i-n, writes the first configuration and waits until it is accepted. */
    void startAll(int count) {
        for (int i = 1; i <= count; i++) {
            list.add("i-" + i);
        }
        recordList();
        List.copyOf(list).forEach(this::start);
        time.advance(2 * LIST_LAG_MILLIS);
        CompletableFuture<ProposalResult> first = propose("i-1", 0, "first", 1);
        time.advance(WAIT_MILLIS);
        if (!(first.join() instanceof ProposalResult.Accepted)) {
            throw new IllegalStateException("first configuration: " + first.join());
        }
    }

    /** Starts an instance and kills an earlier incarnation of the same name. */
    Instance start(String name) {
        list.add(name);
        recordList();
        Instance earlier = instances.get(name);
        if (earlier != null) {
            earlier.process.kill();
        }
        FakeProcess process = new FakeProcess(time);
        FakeStoreClient client = store.connect();
        client.setDeliveryExecutor(process::run);
        Members members = Members.create(
                Duration.ofMillis(LIST_LAG_MILLIS).toNanos(), time.ticker().read());
        ConfigContext context = new ConfigContext(
                name,
                nextIncarnation++,
                client,
                network.join(name, process),
                members,
                process.scheduler(),
                time.ticker(),
                time.wallClock(),
                ConfigTimings.defaults(),
                RulesParser::parse);
        pollList(name, process, members);
        ConfigNode node = ConfigNode.start(context);
        Instance instance = new Instance(name, process, client, members, node, ConfigService.create(node));
        instances.put(name, instance);
        return instance;
    }

    private void pollList(String name, FakeProcess process, Members members) {
        long seenMillis = time.nowMillis() - listLagMillis.getOrDefault(name, 0L);
        Map.Entry<Long, Set<String>> seen = listHistory.floorEntry(seenMillis);
        if (seen != null) {
            members.updateListed(seen.getValue(), time.ticker().read());
        }
        process.scheduler().schedule(LIST_POLL_MILLIS, () -> pollList(name, process, members));
    }

    private void recordList() {
        listHistory.put(time.nowMillis(), Set.copyOf(list));
    }

    Instance get(String name) {
        return instances.get(name);
    }

    /** Removes an instance from the platform's list. */
    void unlist(String name) {
        list.remove(name);
        recordList();
    }

    CompletableFuture<ProposalResult> propose(String through, long baseNumber, String changeId, long variant) {
        ProposedChange change = new ProposedChange(baseNumber, changeId, "ann", "test", text(variant));
        return get(through).service.propose(change, WAIT_MILLIS).toCompletableFuture();
    }

    boolean acceptsWork(String name) {
        Instance instance = get(name);
        return instance.process.isRunning()
                && instance.node.mayAcceptNewWork(time.ticker().read());
    }

    long number(String name) {
        return get(name).node.current().map(AppliedConfig::number).orElse(0L);
    }

    /** Disconnects an instance from the store and from all other instances. */
    void isolate(String name) {
        get(name).client.setDisconnected(true);
        instances.keySet().forEach(other -> cutBothWays(name, other));
    }

    void cutBothWays(String one, String other) {
        network.cut(one, other);
        network.cut(other, one);
    }

    void healAll() {
        network.healAll();
        instances.values().forEach(instance -> instance.client.setDisconnected(false));
        store.setDown(false);
    }
}
