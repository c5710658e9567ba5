package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.PolledKeyValueStore;
import baobabcroft.external.Versioned;
import baobabcroft.external.WriteResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.rollout.RolloutCounts;
import baobabcroft.rollout.RolloutRecord;
import baobabcroft.rollout.RolloutStatusWriter;
import baobabcroft.rollout.RolloutWriter;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Reads and writes the keys that instances share through the store, as JSON under one prefix: a record for each
 * roll-out, and the location and the observed crashes of each instance. Response counts are exchanged in notices. Not
 * thread-safe.
 */
final class SharedStoreRecords implements RolloutWriter {
    /** Prefix of all keys of the router. */
    static final String PREFIX = "baobabcroft/";

    private static final String ROLLOUT = "rollout";
    private static final String CRASHES = "crashes";
    private static final String INSTANCES = "instances";

    private final String instance;
    private final PolledKeyValueStore store;
    private final RolloutStatusWriter announcer;
    private final DomainRolloutCounts rolloutCounts;
    private final ObjectMapper json = new ObjectMapper();
    private final EventLog log = EventLog.of(SharedStoreRecords.class);

    SharedStoreRecords(
            String instance,
            PolledKeyValueStore store,
            RolloutStatusWriter announcer,
            DomainRolloutCounts rolloutCounts) {
        this.instance = checkNotNull(instance);
        this.store = checkNotNull(store);
        this.announcer = checkNotNull(announcer);
        this.rolloutCounts = checkNotNull(rolloutCounts);
    }

    /** Dispatches a key that was written. Keys of an unknown kind are ignored: a later release may write them. */
    void dispatch(
            Versioned entry,
            FleetRollouts rollouts,
            CrashTracker crashTracker,
            BiConsumer<String, InstanceLocation> onPeerLocation) {
        List<String> parts = Splitter.on('/').splitToList(entry.key().substring(PREFIX.length()));
        try {
            if (parts.get(0).equals(ROLLOUT) && parts.size() == 2) {
                rollouts.onRecord(parts.get(1), parse(entry, RolloutRecord.class), entry.revision());
            } else if (parts.get(0).equals(CRASHES)
                    && parts.size() == 2
                    && !parts.get(1).equals(instance)) {
                crashTracker.addFromPeer(parse(entry, CrashRecord.class));
            } else if (parts.get(0).equals(INSTANCES) && parts.size() == 2) {
                onPeerLocation.accept(parts.get(1), parse(entry, InstanceLocation.class));
            }
        } catch (IOException unreadable) {
            log.log(LogEvent.SHARED_KEY_UNREADABLE, entry.key(), unreadable.getMessage());
        }
    }

    private <T> T parse(Versioned entry, Class<T> type) throws IOException {
        return json.readValue(entry.value().toByteArray(), type);
    }

    private ByteString toJson(Object value) {
        try {
            return ByteString.copyFrom(json.writeValueAsBytes(value));
        } catch (JsonProcessingException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    @Override
    public void writeRecord(
            String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> callback) {
        store.compareAndSwap(PREFIX + ROLLOUT + '/' + service, expectedRevision, toJson(record), callback);
    }

    @Override
    public void writeStatus(
            String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> callback) {
        announcer.writeStatus(service, expectedRevision, record, callback);
    }

    @Override
    public void publishCounts(String service, RolloutCounts counts) {
        rolloutCounts.setOwn(service, counts);
    }

    /** Publishes the location of this instance. */
    void publishLocation(InstanceLocation location) {
        store.put(PREFIX + INSTANCES + '/' + instance, toJson(location));
    }

    /** Publishes the crashes that this instance has observed. */
    void publishCrashes(CrashRecord crashes) {
        store.put(PREFIX + CRASHES + '/' + instance, toJson(crashes));
    }
}
