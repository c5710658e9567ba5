package baobabcroft.slot;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A group of transitions applied in order to one value of a slot, to be committed in a single write.
 *
 * <p>Not thread-safe.
 */
final class Batch {
    private final Slot base;
    private final SlotView sealedRecords;
    private final long nowEpochMillis;
    private final Map<RecordKey, SlotRecord> changes = new LinkedHashMap<>();
    private final Map<PendingTransition<?>, Runnable> completions = new LinkedHashMap<>();
    private final Set<SegmentInfo> missing = new LinkedHashSet<>();
    private int sizeBytes;

    private Batch(Slot base, SlotView sealedRecords, long nowEpochMillis) {
        this.base = base;
        this.sealedRecords = sealedRecords;
        this.nowEpochMillis = nowEpochMillis;
        this.sizeBytes = base.sizeBytes();
    }

    /**
     * Returns the batch of queued transitions that fit into the slot, in queue order.
     *
     * <p>At least one transition is included, even if it exceeds the size limit. Completed transitions are skipped.
     */
    static Batch apply(
            Slot base,
            SlotView sealedRecords,
            Iterable<PendingTransition<?>> queue,
            long nowEpochMillis,
            int maxSizeBytes) {
        Batch batch = new Batch(base, sealedRecords, nowEpochMillis);
        for (PendingTransition<?> pending : queue) {
            if (batch.sizeBytes > maxSizeBytes && !batch.completions.isEmpty()) {
                break;
            }
            if (!pending.isDone()) {
                batch.add(pending);
            }
        }
        return batch;
    }

    private <T> void add(PendingTransition<T> pending) {
        try {
            accept(pending, pending.decide(this::find, nowEpochMillis));
        } catch (IllegalStateException e) {
            completions.put(pending, () -> pending.fail(e));
        }
    }

    private <T> void accept(PendingTransition<T> pending, Decision<T> decision) {
        if (decision instanceof Decision.Load<T> load) {
            missing.add(load.segment());
        } else if (decision instanceof Decision.Put<T> put) {
            changes.put(put.record().key(), put.record());
            sizeBytes += put.record().sizeBytes();
            completions.put(pending, () -> pending.commit(put.result()));
        } else if (decision instanceof Decision.Keep<T> keep) {
            completions.put(pending, () -> pending.commit(keep.result()));
        }
    }

    private Lookup find(RecordKey key) {
        SlotRecord changed = changes.get(key);
        if (changed != null) {
            return new Lookup.Present(changed);
        }
        return base.record(key).<Lookup>map(Lookup.Present::new).orElseGet(() -> sealedRecords.find(key));
    }

    boolean isEmpty() {
        return completions.isEmpty();
    }

    boolean writes() {
        return !changes.isEmpty();
    }

    ImmutableList<SegmentInfo> missingSegments() {
        return ImmutableList.copyOf(missing);
    }

    Slot result() {
        return base.with(changes);
    }

    void markSent() {
        completions.keySet().forEach(PendingTransition::markSent);
    }

    /** Completes all transitions; this has no effect on those that have timed out in the meantime. */
    void complete() {
        List<Runnable> all = new ArrayList<>(completions.values());
        all.forEach(Runnable::run);
    }
}
