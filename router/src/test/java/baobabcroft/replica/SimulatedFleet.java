package baobabcroft.replica;

import baobabcroft.external.WriteResult;
import baobabcroft.fake.SimulatedLink;
import baobabcroft.fake.VirtualTime;
import baobabcroft.feed.FeedMessageSizes;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Instances of one failure domain with their replicas of a {@link SimulatedStore}, in virtual time. */
public final class SimulatedFleet {
    private static final long MESSAGE_MILLIS = 1;
    private static final long CONNECT_TIMEOUT_MILLIS = 600;
    private static final double FAST_LINK_MEGABITS_PER_SECOND = 10_000;

    private final VirtualTime time;
    private final SimulatedStore store;
    private final String presence;
    private final FeedMessageSizes messageSizes = new FeedMessageSizes();
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    /** By name of the instance, also of one that was killed. */
    private final Map<String, Double> linkRates = new HashMap<>();

    private final Set<String> frozen = new HashSet<>();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);

    SimulatedFleet(VirtualTime time, SimulatedStore store) {
        this(time, store, "");
    }

    /** Returns a failure domain whose instances do not see those of other domains of the same store. */
    public SimulatedFleet(VirtualTime time, SimulatedStore store, String domain) {
        this.time = time;
        this.store = store;
        this.presence = domain + "presence/";
    }

    /** An instance with what it was told of the store. */
    final class Instance implements ReplicaListener {
        private final String name;
        private final ReplicaListener listener;
        private final StoreReplica replica;
        private final List<String> events = new ArrayList<>();
        private final Map<String, String> contents = new HashMap<>();
        private final List<Runnable> whileFrozen = new ArrayList<>();
        private final SimulatedLink outgoing;
        private final SimulatedLink incoming;
        private boolean stopped;

        private Instance(String name, double linkMegabitsPerSecond, ReplicaListener listener) {
            this.name = name;
            this.listener = listener;
            this.outgoing = new SimulatedLink(time, linkMegabitsPerSecond, MESSAGE_MILLIS);
            this.incoming = new SimulatedLink(time, linkMegabitsPerSecond, 0);
            this.replica = StoreReplica.create(
                    name,
                    linkMegabitsPerSecond,
                    store.callsOfInstance(name, incoming),
                    (address, position, observer) -> connect(this, address, position, observer),
                    (delayMillis, task) -> time.scheduler().schedule(delayMillis, () -> run(task)),
                    time::nowMillis,
                    random::nextDouble,
                    this);
        }

        private void run(Runnable task) {
            if (frozen.contains(name)) {
                whileFrozen.add(task);
            } else if (!stopped) {
                task.run();
            }
        }

        String name() {
            return name;
        }

        StoreReplica replica() {
            return replica;
        }

        Map<String, String> contents() {
            return contents;
        }

        List<String> events() {
            return events;
        }

        @Override
        public void onEraStarted(long era) {
            events.add("era " + era);
            listener.onEraStarted(era);
        }

        @Override
        public void onPut(StoreEntry entry) {
            contents.put(entry.key(), entry.value().toStringUtf8());
            events.add("put " + entry.key() + "=" + entry.value().toStringUtf8());
            listener.onPut(entry);
            if (entry.key().startsWith(presence)) {
                String member = entry.key().substring(presence.length());
                replica.putMember(member, linkRates.getOrDefault(member, 0.0), address(member));
            }
        }

        @Override
        public void onDelete(String key) {
            contents.remove(key);
            events.add("delete " + key);
            listener.onDelete(key);
        }

        @Override
        public void onSnapshotEnd() {
            events.add("snapshot");
            listener.onSnapshotEnd();
        }

        @Override
        public void onUnavailable(String reason) {
            events.add("unavailable");
            listener.onUnavailable(reason);
        }

        @Override
        public void onAvailable() {
            events.add("available");
            listener.onAvailable();
        }

        void compareAndSwap(String key, StoreRevision expected, String value, Consumer<WriteResult> callback) {
            replica.compareAndSwap(key, expected, ByteString.copyFromUtf8(value), callback);
        }
    }

    private static HostAndPort address(String name) {
        return HostAndPort.fromParts(name, 1);
    }

    Instance start(String name) {
        return start(name, FAST_LINK_MEGABITS_PER_SECOND);
    }

    Instance start(String name, double linkMegabitsPerSecond) {
        return start(name, linkMegabitsPerSecond, new SilentListener());
    }

    /** Starts an instance that notifies a listener of changes of the store. */
    public void start(String name, ReplicaListener listener) {
        start(name, FAST_LINK_MEGABITS_PER_SECOND, listener);
    }

    private Instance start(String name, double linkMegabitsPerSecond, ReplicaListener listener) {
        linkRates.put(name, linkMegabitsPerSecond);
        Instance instance = new Instance(name, linkMegabitsPerSecond, listener);
        instances.put(name, instance);
        instance.replica.putOwnKey(presence + name, ByteString.copyFromUtf8(name));
        instance.replica.start();
        return instance;
    }

    /** Returns the age of an instance's view of the store, in milliseconds. */
    public long ageMillis(String name) {
        return instances.get(name).replica.ageMillis();
    }

    /** Returns whether an instance follows another one. */
    public boolean isFollowing(String name) {
        return instances.get(name).replica.isFollowing();
    }

    /** Kills an instance: its connections are reset. */
    public void kill(String name) {
        kill(instances.get(name));
    }

    /** Kills an instance: its connections are reset. */
    void kill(Instance instance) {
        instance.stopped = true;
        instances.remove(instance.name);
        instance.replica.feed().endAll("killed");
    }

    /** Limits what an instance sends from now on, also on its open connections. */
    void slowOutgoingLink(Instance instance, double megabitsPerSecond) {
        instance.outgoing.setRate(megabitsPerSecond);
    }

    /** Limits what an instance receives from the store from now on. */
    void slowIncomingLink(Instance instance, double megabitsPerSecond) {
        instance.incoming.setRate(megabitsPerSecond);
    }

    void freeze(Instance instance) {
        frozen.add(instance.name);
    }

    void wake(Instance instance) {
        frozen.remove(instance.name);
        List<Runnable> tasks = new ArrayList<>(instance.whileFrozen);
        instance.whileFrozen.clear();
        tasks.forEach(task -> time.scheduler().schedule(0, () -> instance.run(task)));
    }

    List<Instance> polling() {
        return instances.values().stream()
                .filter(instance -> !instance.replica.isFollowing())
                .toList();
    }

    private FeedTransport.Link connect(
            Instance from, HostAndPort address, StoreRevision position, FeedTransport.Observer observer) {
        Link link = new Link(from, observer);
        Instance to = instances.get(address.getHost());
        if (to == null) {
            time.scheduler().schedule(CONNECT_TIMEOUT_MILLIS, () -> link.end("timeout"));
        } else {
            link.to = to;
            link.connection = to.outgoing.open();
            link.request(position);
        }
        return link;
    }

    private final class Link implements FeedTransport.Link, ReplicaFeed.Subscriber {
        private final Instance from;
        private final FeedTransport.Observer observer;
        private Instance to;
        private SimulatedLink.Connection connection;
        private boolean closed;

        private Link(Instance from, FeedTransport.Observer observer) {
            this.from = from;
            this.observer = observer;
        }

        @Override
        public void send(FeedUpdate update) {
            connection.send(messageSizes.encodedBytes(update), () -> receive(() -> observer.onUpdate(update)));
        }

        @Override
        public void request(StoreRevision position) {
            time.scheduler()
                    .schedule(
                            MESSAGE_MILLIS,
                            () -> to.run(() -> {
                                if (!to.replica.feed().request(this, position)) {
                                    end("refused");
                                }
                            }));
        }

        @Override
        public void end(String reason) {
            time.scheduler()
                    .schedule(
                            MESSAGE_MILLIS,
                            () -> receive(() -> {
                                closed = true;
                                observer.onClosed(reason);
                            }));
        }

        private void receive(Runnable message) {
            from.run(() -> {
                if (!closed) {
                    message.run();
                }
            });
        }

        @Override
        public void close() {
            closed = true;
            if (to != null) {
                connection.close();
                time.scheduler()
                        .schedule(
                                MESSAGE_MILLIS,
                                () -> to.run(() -> to.replica.feed().unsubscribe(this)));
            }
        }
    }
}
