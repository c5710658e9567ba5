package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.WriteResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.replica.StoreEntry;
import baobabcroft.replica.StoreReplica;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.rollout.RolloutCounts;
import baobabcroft.rollout.RolloutRecord;
import baobabcroft.rollout.RolloutStatusWriter;
import baobabcroft.rollout.RolloutWriter;
import com.google.common.base.Splitter;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads and writes the keys that instances share through the store, as JSON under one prefix: a record for each
 * rollout, and the location and the observed crashes of each instance. Response counts are exchanged in notices. Not
 * thread-safe.
 */
final class SharedStoreRecords implements RolloutWriter {
    private static final String PREFIX = "baobabcroft/";
    private static final String ROLLOUT = "rollout";
    private static final String CRASHES = "crashes";
    private static final String INSTANCES = "instances";

    private final String instance;
    private final DomainRolloutCounts rolloutCounts;
    private final SharedRecordCodec codec = new SharedRecordCodec();
    private final EventLog log = EventLog.of(SharedStoreRecords.class);
    private Receivers receivers;
    private StoreReplica store;
    private RolloutStatusWriter statusWriter;

    /** Receives what the instances share. */
    interface PeerLocations {
        /** Called when an instance has published its location. */
        void onLocation(String peer, InstanceLocation location);

        /** Called when the location of an instance was deleted. */
        void onLocationDeleted(String peer);
    }

    /**
     * Receivers of the records.
     *
     * @param rollouts receives the records of rollouts
     * @param crashTracker receives the crashes that instances have observed
     * @param locations receives the locations of instances
     */
    record Receivers(FleetRollouts rollouts, CrashTracker crashTracker, PeerLocations locations) {}

    SharedStoreRecords(String instance, DomainRolloutCounts rolloutCounts) {
        this.instance = checkNotNull(instance);
        this.rolloutCounts = checkNotNull(rolloutCounts);
    }

    /** Connects the records with the store and with their receivers; to be called once, before anything else. */
    void connect(StoreReplica newStore, RolloutStatusWriter newStatusWriter, Receivers newReceivers) {
        store = checkNotNull(newStore);
        statusWriter = checkNotNull(newStatusWriter);
        receivers = checkNotNull(newReceivers);
    }

    /** Dispatches a key that was written. Keys of an unknown kind are ignored: a later release may write them. */
    void onPut(StoreEntry entry) {
        List<String> parts = parts(entry.key());
        if (parts.size() != 2) {
            return;
        }
        String name = parts.get(1);
        try {
            switch (parts.get(0)) {
                case ROLLOUT ->
                    receivers.rollouts().onRecord(name, codec.decodeRollout(entry.value()), entry.revision());
                case CRASHES ->
                    receivers.crashTracker().onPublished(codec.decodeCrashes(entry.value()), name.equals(instance));
                case INSTANCES -> receivers.locations().onLocation(name, codec.decodeLocation(entry.value()));
                default -> {}
            }
        } catch (IOException unreadable) {
            log.log(LogEvent.SHARED_KEY_UNREADABLE, entry.key(), unreadable.getMessage());
        }
    }

    /** Dispatches the deletion of a key. */
    void onDelete(String key) {
        List<String> parts = parts(key);
        if (parts.size() == 2 && parts.get(0).equals(INSTANCES)) {
            receivers.locations().onLocationDeleted(parts.get(1));
        }
    }

    private static List<String> parts(String key) {
        return key.startsWith(PREFIX) ? Splitter.on('/').splitToList(key.substring(PREFIX.length())) : List.of();
    }

    @Override
    public void writeRecord(
            String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback) {
        store.compareAndSwap(PREFIX + ROLLOUT + '/' + service, expected, codec.encode(record), callback);
    }

    @Override
    public void writeStatus(
            String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback) {
        statusWriter.writeStatus(service, expected, record, callback);
    }

    @Override
    public void publishCounts(String service, RolloutCounts counts) {
        rolloutCounts.setOwn(service, counts);
    }

    /** Publishes the location of this instance. */
    void publishLocation(InstanceLocation location) {
        store.putOwnKey(PREFIX + INSTANCES + '/' + instance, codec.encode(location));
    }

    /** Publishes the crashes that this instance has observed. */
    void publishCrashes(CrashRecord crashes) {
        store.putOwnKey(PREFIX + CRASHES + '/' + instance, codec.encode(crashes));
    }
}
