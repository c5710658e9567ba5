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
 * whether the store responds.
 *
 * <p>Invariant: a follower is sent one update for each request, so no update waits behind another one. What changes
 * meanwhile is part of the next update, which carries only the newest value of each key. Not thread-safe.
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

    /** What is known of a follower. */
    private static final class Follower {
        /** Revision that the follower has. */
        private StoreRevision position;
        /** Newest revision of any key when the last update was sent. */
        private StoreRevision sentNewest = StoreRevision.absent(0);

        private boolean waiting;

        private Follower(StoreRevision position) {
            this.position = position;
        }
    }

    private final KeyReplica replica;
    private final StorePoller poller;
    private final ViewAge viewAge;
    private final Map<Subscriber, Follower> followers = new LinkedHashMap<>();

    ReplicaFeed(KeyReplica replica, StorePoller poller, ViewAge viewAge) {
        this.replica = checkNotNull(replica);
        this.poller = checkNotNull(poller);
        this.viewAge = checkNotNull(viewAge);
    }

    /**
     * Requests the next update for a follower, which is added by its first request. The update is sent at once if there
     * are changes or the follower is new; otherwise with the next change or heartbeat.
     *
     * @param subscriber connection to the follower
     * @param position revision that the follower has
     * @return false if this instance does not read the store itself, in which case nothing is sent
     */
    public boolean request(Subscriber subscriber, StoreRevision position) {
        if (!replica.isLoaded() || !poller.isSource()) {
            return false;
        }
        Follower follower = followers.computeIfAbsent(checkNotNull(subscriber), unused -> new Follower(position));
        follower.position = position;
        follower.waiting = true;
        if (replica.newest().isAfter(follower.sentNewest)) {
            send(subscriber, follower, updateSince(position));
        }
        return true;
    }

    /**
     * Removes a follower, if it is one.
     *
     * @param subscriber connection to the follower
     */
    public void unsubscribe(Subscriber subscriber) {
        followers.remove(subscriber);
    }

    /** Returns the number of followers. */
    int size() {
        return followers.size();
    }

    /** Sends the followers that wait for an update what they lack, or a heartbeat. */
    void sendUpdates() {
        Map<StoreRevision, FeedUpdate> updates = new HashMap<>();
        ImmutableMap.copyOf(followers).forEach((subscriber, follower) -> {
            if (follower.waiting) {
                send(subscriber, follower, updates.computeIfAbsent(follower.position, this::updateSince));
            }
        });
    }

    private FeedUpdate updateSince(StoreRevision position) {
        return replica.updateSince(position, poller.isResponding(), viewAge.millis());
    }

    private void send(Subscriber subscriber, Follower follower, FeedUpdate update) {
        follower.waiting = false;
        follower.sentNewest = replica.newest();
        subscriber.send(update);
    }

    /** Ends the feed of all followers, because this instance can no longer vouch for the replica. */
    void endAll(String reason) {
        List<Subscriber> ended = new ArrayList<>(followers.keySet());
        followers.clear();
        ended.forEach(subscriber -> subscriber.end(reason));
    }
}
