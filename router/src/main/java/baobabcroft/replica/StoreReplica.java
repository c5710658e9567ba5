package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.external.WriteResult;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The keys of the store as this instance knows them, and its writes to the store. Not thread-safe: everything runs on
 * the scheduler's thread.
 */
public final class StoreReplica implements SharedKeyWriter {
    /** Interval of heartbeats to followers. */
    private static final long HEARTBEAT_MILLIS = 500;

    private final StoreCalls calls;
    private final Scheduler scheduler;
    private final ReplicaListener listener;
    private final KeyReplica replica;
    private final ViewAge viewAge;
    private final StorePoller poller;
    private final ReplicaFeed feed;
    private final OwnKeys ownKeys;
    private final SourceSelector sources;
    private boolean available;

    private StoreReplica(
            SourceRank self,
            StoreCalls calls,
            FeedTransport transport,
            Scheduler scheduler,
            LongSupplier nowMillis,
            DoubleSupplier random,
            ReplicaListener listener) {
        this.calls = checkNotNull(calls);
        this.scheduler = checkNotNull(scheduler);
        this.listener = checkNotNull(listener);
        this.replica = new KeyReplica(listener);
        this.viewAge = new ViewAge(nowMillis);
        this.poller = new StorePoller(calls, replica, viewAge, scheduler, nowMillis, random, new PollerContact());
        this.feed = new ReplicaFeed(replica, poller, viewAge);
        this.ownKeys = new OwnKeys(replica, this, scheduler);
        this.sources = new SourceSelector(
                self, replica, viewAge, poller, transport, scheduler, nowMillis, new FollowerContact());
    }

    /**
     * Returns an empty replica.
     *
     * @param instance name of this instance
     * @param linkMegabitsPerSecond rate of this instance's network link; 0 if unknown
     * @param calls calls of the store
     * @param transport connects to the feeds of other instances
     * @param scheduler runs timers on the thread of the replica
     * @param nowMillis monotonic clock, in milliseconds
     * @param random uniform numbers from 0 to 1, for jitter
     * @param listener receives the contents and their changes
     * @return the replica, to be started by {@link #start}
     */
    public static StoreReplica create(
            String instance,
            double linkMegabitsPerSecond,
            StoreCalls calls,
            FeedTransport transport,
            Scheduler scheduler,
            LongSupplier nowMillis,
            DoubleSupplier random,
            ReplicaListener listener) {
        SourceRank self = new SourceRank(instance, linkMegabitsPerSecond);
        return new StoreReplica(self, calls, transport, scheduler, nowMillis, random, listener);
    }

    /** Starts reading the store. */
    public void start() {
        sources.start();
        heartbeat();
    }

    private void heartbeat() {
        publish();
        scheduler.schedule(HEARTBEAT_MILLIS, this::heartbeat);
    }

    private void publish() {
        feed.sendUpdates();
        ownKeys.reconcile();
    }

    /**
     * Returns the feed of this instance, for the server that accepts followers.
     *
     * @return the feed
     */
    public ReplicaFeed feed() {
        return feed;
    }

    /**
     * Adds an instance of the same failure domain, whose feed may be followed, or changes its address.
     *
     * @param name name of the instance; this instance itself is ignored
     * @param linkMegabitsPerSecond rate of its network link; 0 if unknown
     * @param address address of its feed
     */
    public void putMember(String name, double linkMegabitsPerSecond, HostAndPort address) {
        sources.putMember(new SourceRank(name, linkMegabitsPerSecond), address);
    }

    /**
     * Removes an instance of the same failure domain.
     *
     * @param name name of the instance
     */
    public void removeMember(String name) {
        sources.removeMember(name);
    }

    /**
     * Sets the value of a key that only this instance writes. The key is written again whenever the store loses it.
     *
     * @param key the key
     * @param value the value that the key should have
     */
    public void putOwnKey(String key, ByteString value) {
        ownKeys.put(key, value);
    }

    @Override
    public void compareAndSwap(String key, StoreRevision expected, ByteString value, Consumer<WriteResult> callback) {
        long era = replica.position().era();
        if (!replica.isLoaded() || expected.era() != era) {
            callback.accept(new WriteResult.Unavailable("revision " + expected + " is not of the current era " + era));
            return;
        }
        calls.compareAndSwap(key, expected.number(), value, reply -> {
            reply.era().ifPresent(poller::noteEra);
            callback.accept(resultIn(era, reply.era(), reply.result()));
        });
    }

    /** Returns the result of a write, which is unknown if the store answered in another era than expected. */
    private static WriteResult resultIn(long expectedEra, OptionalLong era, WriteResult result) {
        boolean otherEra = era.isPresent() && era.getAsLong() != expectedEra;
        boolean notWritten = result instanceof WriteResult.Unavailable;
        return otherEra && !notWritten ? new WriteResult.Unknown("applied in era " + era.getAsLong()) : result;
    }

    /**
     * Returns the era of the store that the replica shows.
     *
     * @return the era; 0 before the first contact
     */
    public long era() {
        return replica.position().era();
    }

    /**
     * Returns the age of the view of the store: all changes that the store made earlier than that are known.
     *
     * @return the age, in milliseconds
     */
    public long ageMillis() {
        return viewAge.millis();
    }

    /**
     * Returns whether this instance follows another one rather than polling the store.
     *
     * @return false if it polls the store
     */
    public boolean isFollowing() {
        return sources.isFollowing();
    }

    /**
     * Returns the number of instances that follow this one.
     *
     * @return the number of connections
     */
    public int followerCount() {
        return feed.size();
    }

    private void onContact() {
        if (!available) {
            available = true;
            listener.onAvailable();
        }
    }

    private void onContactLost(String reason) {
        if (available) {
            available = false;
            listener.onUnavailable(reason);
        }
    }

    /** Contact of this instance itself with the store. */
    private final class PollerContact implements StorePoller.Contact {
        @Override
        public void onResponse() {
            sources.onStoreResponse();
            onContact();
        }

        @Override
        public void onApplied() {
            publish();
        }

        @Override
        public void onSilence() {
            publish();
        }

        @Override
        public void onFailure(String reason) {
            onContactLost(reason);
            publish();
        }
    }

    /** Contact with the store by way of a followed instance. Only polls of this instance show that it is lost. */
    private final class FollowerContact implements SourceSelector.Contact {
        @Override
        public void onContact() {
            StoreReplica.this.onContact();
        }

        @Override
        public void onFollowing() {
            feed.endAll("follows another instance");
        }
    }
}
