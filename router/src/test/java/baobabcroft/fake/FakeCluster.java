package baobabcroft.fake;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * Some instances of the system over one fake store. A killed one is replaced at once by one with a new name.
 *
 * @param <S> service that a test drives on each instance
 */
public final class FakeCluster<S> {
    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final BiFunction<FakeCluster<S>, Instance<S>, S> starter;
    private final List<Instance<S>> running = new ArrayList<>();
    private final Set<String> dead = new HashSet<>();
    private int started;

    /** One instance: its process, its connection to the store and its service. */
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

        /** Returns the instance's name. */
        public String name() {
            return name;
        }

        /** Returns the instance's process. */
        public FakeProcess process() {
            return process;
        }

        /** Returns the instance's connection to the store. */
        public FakeStoreClient client() {
            return client;
        }

        /** Returns the instance's service. */
        public S service() {
            return service;
        }
    }

    /** Starts instances. */
    public FakeCluster(int count, BiFunction<FakeCluster<S>, Instance<S>, S> starter) {
        this.starter = starter;
        for (int i = 0; i < count; i++) {
            running.add(startInstance());
        }
    }

    /** Starts one more instance, which is not disturbed. */
    public Instance<S> startInstance() {
        FakeProcess process = new FakeProcess(time);
        FakeStoreClient client = store.connect();
        client.setDeliveryExecutor(process::run);
        Instance<S> machine = new Instance<>("instance-" + started++, process, client);
        machine.service = starter.apply(this, machine);
        return machine;
    }

    /** Returns the clock. */
    public VirtualTime time() {
        return time;
    }

    /** Returns the store. */
    public FakeStore store() {
        return store;
    }

    /** Returns the instance that has a place now. */
    public Instance<S> instance(int place) {
        return running.get(place);
    }

    /** Returns all instances that have a place now. */
    public List<Instance<S>> instances() {
        return List.copyOf(running);
    }

    /** Returns whether an instance has ended. */
    public boolean isKilled(String name) {
        return dead.contains(name);
    }

    /** Lets a disturbance happen. */
    public void inject(FaultInjection disturbance) {
        Instance<S> machine = instance(disturbance.instanceIndex());
        switch (disturbance.kind()) {
            case FREEZE -> machine.process().freeze();
            case THAW -> machine.process().thaw();
            case KILL -> replace(disturbance.instanceIndex());
            case CUT_FROM_STORE -> machine.client().setDisconnected(true);
            case RECONNECT -> machine.client().setDisconnected(false);
            case STOP_STORE -> store.setDown(true);
            case RESTART_STORE -> store.setDown(false);
            case SLOW_STORE -> store.setLatencyMillis(disturbance.millis());
            case FAST_STORE -> store.setLatencyMillis(2);
            case LOSE_REPLIES -> store.loseReplies(disturbance.count());
            case DELAY_WRITES -> store.delayWrites(disturbance.count(), disturbance.millis());
            case PAUSE -> time.advance(disturbance.millis());
            default -> throw new AssertionError(disturbance);
        }
    }

    private void replace(int place) {
        Instance<S> machine = instance(place);
        machine.process().kill();
        dead.add(machine.name());
        running.set(place, startInstance());
    }

    /** Ends all disturbances and lets half a minute pass. */
    public void heal() {
        store.setDown(false);
        store.setLatencyMillis(2);
        store.loseReplies(0);
        store.delayWrites(0, 0);
        for (Instance<S> machine : running) {
            machine.client().setDisconnected(false);
            machine.process().thaw();
        }
        time.advance(30_000);
    }
}
