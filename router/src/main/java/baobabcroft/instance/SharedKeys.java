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
 * The keys that instances share through the store, as JSON under one prefix: a record for each roll-out, and each
 * instance's place and crashes. Counts of answers go by notices. Not thread-safe.
 */
final class SharedKeys implements RolloutWriter {
    /** Before all keys of the product. */
    static final String PREFIX = "baobabcroft/";

    private static final String ROLLOUT = "rollout";
    private static final String CRASHES = "crashes";
    private static final String INSTANCES = "instances";

    private final String instance;
    private final PolledKeyValueStore store;
    private final RolloutStatusWriter announcer;
    private final DomainRolloutCounts trials;
    private final ObjectMapper json = new ObjectMapper();
    private final EventLog log = EventLog.of(SharedKeys.class);

    SharedKeys(String instance, PolledKeyValueStore store, RolloutStatusWriter announcer, DomainRolloutCounts trials) {
        this.instance = checkNotNull(instance);
        this.store = checkNotNull(store);
        this.announcer = checkNotNull(announcer);
        this.trials = checkNotNull(trials);
    }

    /** Hands a key to whom it concerns. Keys of an unknown kind are ignored: a later release may write them. */
    void seen(
            Versioned entry,
            FleetRollouts rollouts,
            SharedCrashes crashes,
            BiConsumer<String, InstancePlace> peerSeen) {
        List<String> parts = Splitter.on('/').splitToList(entry.key().substring(PREFIX.length()));
        try {
            if (parts.get(0).equals(ROLLOUT) && parts.size() == 2) {
                rollouts.onRecord(parts.get(1), read(entry, RolloutRecord.class), entry.revision());
            } else if (parts.get(0).equals(CRASHES)
                    && parts.size() == 2
                    && !parts.get(1).equals(instance)) {
                crashes.heard(read(entry, CrashNotice.class));
            } else if (parts.get(0).equals(INSTANCES) && parts.size() == 2) {
                peerSeen.accept(parts.get(1), read(entry, InstancePlace.class));
            }
        } catch (IOException unreadable) {
            log.log(LogEvent.SHARED_KEY_UNREADABLE, entry.key(), unreadable.getMessage());
        }
    }

    private <T> T read(Versioned entry, Class<T> type) throws IOException {
        return json.readValue(entry.value().toByteArray(), type);
    }

    private ByteString write(Object value) {
        try {
            return ByteString.copyFrom(json.writeValueAsBytes(value));
        } catch (JsonProcessingException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    @Override
    public void writeRecord(String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> then) {
        store.compareAndSwap(PREFIX + ROLLOUT + '/' + service, expectedRevision, write(record), then);
    }

    @Override
    public void writeStatus(String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> then) {
        announcer.writeStatus(service, expectedRevision, record, then);
    }

    @Override
    public void publishCounts(String service, RolloutCounts counts) {
        trials.setOwn(service, counts);
    }

    /** Writes where this instance listens. */
    void writePresence(InstancePlace place) {
        store.put(PREFIX + INSTANCES + '/' + instance, write(place));
    }

    /** Writes the crashes that this instance has seen. */
    void writeCrashes(CrashNotice notice) {
        store.put(PREFIX + CRASHES + '/' + instance, write(notice));
    }
}
