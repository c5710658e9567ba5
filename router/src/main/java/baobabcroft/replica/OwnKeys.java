package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.external.WriteResult;
import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keys that only this instance writes. A key is written until the replica shows the wanted value, and again whenever it
 * shows another one, for example after the store has returned from a copy. Not thread-safe.
 */
final class OwnKeys {
    /** Delay before a failed write is repeated: a reply, or the write itself, may be seconds late. */
    private static final long RETRY_MILLIS = 1_000;

    private final KeyReplica replica;
    private final SharedKeyWriter writer;
    private final Scheduler scheduler;
    private final Map<String, ByteString> wanted = new LinkedHashMap<>();
    /** Keys whose write is open, or failed so recently that it is not repeated yet. */
    private final Set<String> pending = new HashSet<>();

    OwnKeys(KeyReplica replica, SharedKeyWriter writer, Scheduler scheduler) {
        this.replica = checkNotNull(replica);
        this.writer = checkNotNull(writer);
        this.scheduler = checkNotNull(scheduler);
    }

    /** Sets the value that a key should have. */
    void put(String key, ByteString value) {
        wanted.put(checkNotNull(key), checkNotNull(value));
        reconcile();
    }

    /** Writes the keys whose value differs from the wanted one, unless a write of theirs is open. */
    void reconcile() {
        if (replica.isLoaded()) {
            wanted.forEach(this::writeIfDifferent);
        }
    }

    private void writeIfDifferent(String key, ByteString value) {
        Optional<StoreEntry> known = replica.find(key);
        if (pending.contains(key)
                || known.filter(entry -> entry.value().equals(value)).isPresent()) {
            return;
        }
        StoreRevision expected = known.map(StoreEntry::revision)
                .orElseGet(() -> StoreRevision.absent(replica.position().era()));
        pending.add(key);
        writer.compareAndSwap(key, expected, value, result -> onWritten(key, value, expected, result));
    }

    private void onWritten(String key, ByteString value, StoreRevision expected, WriteResult result) {
        if (result instanceof WriteResult.Done done) {
            pending.remove(key);
            replica.applyOwnWrite(key, value, new StoreRevision(expected.era(), done.revision()));
            reconcile();
            return;
        }
        scheduler.schedule(RETRY_MILLIS, () -> {
            pending.remove(key);
            reconcile();
        });
    }
}
