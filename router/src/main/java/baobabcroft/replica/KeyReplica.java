package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The keys of the store as last received, in one era of the store.
 *
 * <p>Invariants: the era never decreases; within an era, neither the position nor the revision of a key decreases; a
 * change of another era is ignored. Not thread-safe.
 */
final class KeyReplica {
    /** Deletions that are kept for followers; a follower that lacks older ones gets the complete contents. */
    private static final int MAX_DELETIONS = 2_000;

    private final ReplicaListener listener;
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final Deque<Deletion> deletions = new ArrayDeque<>();
    private StoreRevision position = StoreRevision.absent(0);
    /** Greatest revision of any entry or deletion; a write of this instance may be beyond the position. */
    private StoreRevision newest = position;

    private boolean loaded;
    private long sizeBytes;
    /** All deletions after this revision number are in {@code deletions}. */
    private long deletionsKnownAfter;

    /** What replicas at other positions lack, as last computed; empty after a change. */
    private final Map<StoreRevision, Difference> differences = new HashMap<>();

    private record Deletion(String key, StoreRevision revision) {}

    /** The changes since a position, or the complete contents. */
    private record Difference(boolean complete, ImmutableList<KeyChange> changes) {}

    KeyReplica(ReplicaListener listener) {
        this.listener = checkNotNull(listener);
    }

    /** Returns whether the contents of the store have been received. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns the revision up to which the replica is complete. */
    StoreRevision position() {
        return position;
    }

    /** Returns the greatest revision of any entry or deletion, or the position if that is greater. */
    StoreRevision newest() {
        return newest;
    }

    /** Returns the size of all keys and values, in bytes. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** Returns the entry of a key, or empty if it does not exist. */
    Optional<StoreEntry> find(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Replaces the contents by those of the store.
     *
     * @param at revision up to which the contents are complete; single entries may be newer
     * @param contents all entries of the store
     * @return false if the contents are older than the replica and were ignored
     */
    boolean applySnapshot(StoreRevision at, Collection<StoreEntry> contents) {
        if (loaded && position.isAfter(at)) {
            return false;
        }
        if (loaded && at.era() > position.era()) {
            startEra(at, contents);
        } else {
            merge(at, contents);
        }
        position = at;
        noteRevision(at);
        loaded = true;
        listener.onSnapshotEnd();
        return true;
    }

    private void startEra(StoreRevision at, Collection<StoreEntry> contents) {
        Map<String, StoreEntry> former = new HashMap<>(entries);
        entries.clear();
        differences.clear();
        sizeBytes = 0;
        deletions.clear();
        newest = at;
        deletionsKnownAfter = at.number();
        listener.onEraStarted(at.era());
        for (StoreEntry entry : contents) {
            former.remove(entry.key());
            store(entry);
        }
        former.keySet().forEach(listener::onDelete);
    }

    private void merge(StoreRevision at, Collection<StoreEntry> contents) {
        if (!loaded) {
            deletionsKnownAfter = at.number();
        }
        Map<String, StoreEntry> missing = new HashMap<>(entries);
        for (StoreEntry entry : contents) {
            missing.remove(entry.key());
            putIfNewer(entry);
        }
        missing.values().stream()
                .filter(entry -> !entry.revision().isAfter(at))
                .toList()
                .forEach(entry -> delete(entry.key(), at));
    }

    /**
     * Applies changes in order of revision.
     *
     * @param to revision up to which the changes are complete
     * @param changes changes since a revision that the replica has
     * @return false if they are of another era and were ignored
     */
    boolean applyChanges(StoreRevision to, List<KeyChange> changes) {
        if (!loaded || to.era() != position.era()) {
            return false;
        }
        for (KeyChange change : changes) {
            if (change.revision().isAfter(position)) {
                apply(change);
            }
        }
        if (to.isAfter(position)) {
            position = to;
            noteRevision(to);
        }
        return true;
    }

    private void apply(KeyChange change) {
        if (change.value().isPresent()) {
            putIfNewer(new StoreEntry(change.key(), change.value().get(), change.revision()));
            return;
        }
        StoreEntry known = entries.get(change.key());
        if (known == null || change.revision().isAfter(known.revision())) {
            delete(change.key(), change.revision());
        }
    }

    /** Records a write of this instance that the store has acknowledged and that the replica does not have yet. */
    void applyOwnWrite(String key, ByteString value, StoreRevision revision) {
        if (loaded && revision.era() == position.era()) {
            putIfNewer(new StoreEntry(key, value, revision));
        }
    }

    private void putIfNewer(StoreEntry entry) {
        StoreEntry known = entries.get(entry.key());
        if (known == null || entry.revision().isAfter(known.revision())) {
            store(entry);
        }
    }

    private void store(StoreEntry entry) {
        StoreEntry former = entries.put(entry.key(), entry);
        differences.clear();
        sizeBytes += entry.sizeBytes() - (former == null ? 0 : former.sizeBytes());
        noteRevision(entry.revision());
        listener.onPut(entry);
    }

    private void noteRevision(StoreRevision revision) {
        if (revision.isAfter(newest)) {
            newest = revision;
        }
    }

    private void delete(String key, StoreRevision revision) {
        StoreEntry former = entries.remove(key);
        if (former == null) {
            return;
        }
        differences.clear();
        sizeBytes -= former.sizeBytes();
        deletions.addLast(new Deletion(key, revision));
        noteRevision(revision);
        if (deletions.size() > MAX_DELETIONS) {
            deletionsKnownAfter = deletions.removeFirst().revision().number();
        }
        listener.onDelete(key);
    }

    /**
     * Returns what a replica at another position lacks. Updates for the same position share their changes.
     *
     * @param from position of the other replica
     * @param contact whether the store answered the last call
     * @param ageMillis age of this replica's view of the store, in milliseconds
     * @return the changes since then, or the complete contents if the changes are not known
     */
    FeedUpdate updateSince(StoreRevision from, boolean contact, long ageMillis) {
        if (!newest.isAfter(from)) {
            return new FeedUpdate(position, false, ImmutableList.of(), contact, ageMillis);
        }
        Difference difference = differences.computeIfAbsent(from, this::differenceSince);
        return new FeedUpdate(position, difference.complete(), difference.changes(), contact, ageMillis);
    }

    private Difference differenceSince(StoreRevision from) {
        boolean changesKnown = from.era() == position.era() && from.number() >= deletionsKnownAfter;
        List<KeyChange> changes = new ArrayList<>();
        for (StoreEntry entry : entries.values()) {
            if (!changesKnown || entry.revision().isAfter(from)) {
                changes.add(KeyChange.of(entry));
            }
        }
        if (changesKnown) {
            deletions.stream()
                    .filter(deletion -> deletion.revision().isAfter(from))
                    .forEach(deletion ->
                            changes.add(new KeyChange(deletion.key(), Optional.empty(), deletion.revision())));
        }
        changes.sort((one, other) -> one.revision().compareTo(other.revision()));
        return new Difference(!changesKnown, ImmutableList.copyOf(changes));
    }

    /** Applies an update of another instance; returns false if it is older than the replica and was ignored. */
    boolean applyUpdate(FeedUpdate update) {
        if (!update.complete()) {
            return applyChanges(update.position(), update.changes());
        }
        List<StoreEntry> contents = new ArrayList<>();
        update.changes().forEach(change -> change.value()
                .ifPresent(value -> contents.add(new StoreEntry(change.key(), value, change.revision()))));
        return applySnapshot(update.position(), contents);
    }
}
