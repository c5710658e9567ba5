package baobabcroft.fake;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Simulated instances that share one fake store. A killed instance is replaced immediately by one with a new name.
 *
 * @param <S> type of the service under test, of which each instance has one
 */
public final class FakeCluster<S> {
    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final BiFunction<FakeCluster<S>, Instance<S>, S> serviceFactory;
    private final List<Instance<S>> running = new ArrayList<>();
    private final Set<String> killedNames = new HashSet<>();
    private int started;

    /** One instance, with its process, its store client and its service. */
    public static final class Instance<S> {
        private final String name;
        private final FakeProcess process;
        private final FakeStoreClient client;
        private S service;

        private Instance(String name, FakeProcess process, FakeStoreClient client) {
            this.name = name;
            this.process = process;
            this.client = client;
        }

        /** Returns the name of the instance. */
        public String name() {
            return name;
        }

        /** Returns the process of the instance. */
        public FakeProcess process() {
            return process;
        }

        /** Returns the store client of the instance. */
        public FakeStoreClient client() {
            return client;
        }

        /** Returns the service of the instance. */
        public S service() {
            return service;
        }
    }

    /** Starts the given number of instances. The function creates the service of an instance. */
    public FakeCluster(int count, BiFunction<FakeCluster<S>, Instance<S>, S> serviceFactory) {
        this.serviceFactory = serviceFactory;
        for (int i = 0; i < count; i++) {
            running.add(startInstance());
        }
    }

    /** Starts an additional instance, which no injected fault affects directly. */
    public Instance<S> startInstance() {
        FakeProcess process = new FakeProcess(time);
        FakeStoreClient client = store.connect();
        client.setDeliveryExecutor(process::run);
        Instance<S> instance = new Instance<>("instance-" + started++, process, client);
        instance.service = serviceFactory.apply(this, instance);
        return instance;
    }

    /** Returns the virtual time shared by all instances. */
    public VirtualTime time() {
        return time;
    }

    /** Returns the store shared by all instances. */
    public FakeStore store() {
        return store;
    }

    /** Returns the instance that currently has the given index. */
    public Instance<S> instance(int index) {
        return running.get(index);
    }

    /** Returns the current instances, ordered by index. */
    public List<Instance<S>> instances() {
        return List.copyOf(running);
    }

    /** Returns whether the instance of the given name was killed. */
    public boolean isKilled(String name) {
        return killedNames.contains(name);
    }

    /** Injects a fault, ends one, or lets time pass. */
    public void inject(FaultInjection injection) {
        Instance<S> instance = instance(injection.instanceIndex());
        switch (injection.kind()) {
            case FREEZE -> instance.process().freeze();
            case THAW -> instance.process().thaw();
            case KILL -> replace(injection.instanceIndex());
            case CUT_FROM_STORE -> instance.client().setDisconnected(true);
            case RECONNECT -> instance.client().setDisconnected(false);
            case STOP_STORE -> store.setDown(true);
            case RESTART_STORE -> store.setDown(false);
            case SLOW_STORE -> store.setLatencyMillis(injection.millis());
            case FAST_STORE -> store.setLatencyMillis(2);
            case LOSE_REPLIES -> store.loseReplies(injection.count());
            case DELAY_WRITES -> store.delayWrites(injection.count(), injection.millis());
            case PAUSE -> time.advance(injection.millis());
            default -> throw new AssertionError(injection);
        }
    }

    private void replace(int index) {
        Instance<S> instance = instance(index);
        instance.process().kill();
        killedNames.add(instance.name());
        running.set(index, startInstance());
    }

    /** Ends all faults, then advances the time by 30 seconds. */
    public void heal() {
        store.setDown(false);
        store.setLatencyMillis(2);
        store.loseReplies(0);
        store.delayWrites(0, 0);
        for (Instance<S> instance : running) {
            instance.client().setDisconnected(false);
            instance.process().thaw();
        }
        time.advance(30_000);
    }
}
