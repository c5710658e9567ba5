package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Passes the replica on to the followers of this instance, as long as this instance polls the store. Followers learn
 * whether the store responds. Not thread-safe.
 */
public final class ReplicaFeed {
    /** Connection to a follower. */
    public interface Subscriber {
        /**
         * Sends an update.
         *
         * @param update the update
         */
        void send(FeedUpdate update);

        /**
         * Ends the feed.
         *
         * @param reason description of the cause, for logs
         */
        void end(String reason);
    }

    private final KeyReplica replica;
    private final StorePoller poller;
    private final Map<Subscriber, StoreRevision> subscribers = new LinkedHashMap<>();

    ReplicaFeed(KeyReplica replica, StorePoller poller) {
        this.replica = checkNotNull(replica);
        this.poller = checkNotNull(poller);
    }

    /**
     * Adds a follower, which at once receives what it lacks.
     *
     * @param subscriber connection to the follower
     * @param position revision that the follower has
     * @return false if this instance does not read the store itself, in which case nothing is sent
     */
    public boolean subscribe(Subscriber subscriber, StoreRevision position) {
        if (!replica.isLoaded() || !poller.isSource()) {
            return false;
        }
        send(checkNotNull(subscriber), updateSince(position));
        return true;
    }

    /**
     * Removes a follower, if it is one.
     *
     * @param subscriber connection to the follower
     */
    public void unsubscribe(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    /** Returns the number of followers. */
    int size() {
        return subscribers.size();
    }

    /** Sends all followers what they lack, or a heartbeat. */
    void sendUpdates() {
        Map<StoreRevision, FeedUpdate> updates = new HashMap<>();
        ImmutableMap.copyOf(subscribers)
                .forEach((subscriber, position) ->
                        send(subscriber, updates.computeIfAbsent(position, this::updateSince)));
    }

    private FeedUpdate updateSince(StoreRevision position) {
        return replica.updateSince(position, poller.isResponding(), poller.millisSinceResponse());
    }

    private void send(Subscriber subscriber, FeedUpdate update) {
        subscribers.put(subscriber, update.position());
        subscriber.send(update);
    }

    /** Ends the feed of all followers, because this instance can no longer vouch for the replica. */
    void endAll(String reason) {
        List<Subscriber> ended = new ArrayList<>(subscribers.keySet());
        subscribers.clear();
        ended.forEach(subscriber -> subscriber.end(reason));
    }
}
