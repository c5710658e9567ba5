package baobabcroft.slot;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.Versioned;
import baobabcroft.external.WriteResult;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.OptionalLong;

/**
 * Moves settled records of one slot to a segment: writes the segment, then the slot with a reference to it.
 *
 * <p>Used once, on the sequential executor of its committer. If the slot cannot be written, the segment is deleted.
 */
final class SlotSealer {
    private final SlotCommitter committer;
    private final String slotName;
    private final SlotLogContext context;
    private final SegmentCache segments;
    private final String segmentId;
    private final String segmentKey;

    SlotSealer(SlotCommitter committer, String slotName, SlotLogContext context, SegmentCache segments) {
        this.committer = committer;
        this.slotName = slotName;
        this.context = context;
        this.segments = segments;
        this.segmentId = "%016x".formatted(context.random().getAsLong());
        this.segmentKey = SlotLog.segmentKey(slotName, segmentId);
    }

    void seal(Slot.SealResult sealing) {
        if (sealing.sealed().isEmpty()) {
            writeSlot(sealing, sealing.remaining(), 0, false);
            return;
        }
        writeSegment(sealing, SlotCodec.encodeSegment(sealing.sealed()), false);
    }

    private void writeSegment(Slot.SealResult sealing, ByteString body, boolean mayHaveTakenEffect) {
        committer.onCompletion(
                context.store().compareAndSwap(segmentKey, KeyValueStore.ABSENT, body, OptionalLong.empty()),
                WriteResult.Unknown::new,
                result -> {
                    if (result instanceof WriteResult.Done done) {
                        addSegmentToSlot(sealing, done.revision());
                    } else if (result instanceof WriteResult.Conflict conflict) {
                        addSegmentToSlot(
                                sealing,
                                conflict.current().map(Versioned::revision).orElse(0L));
                    } else if (result instanceof WriteResult.Unknown || mayHaveTakenEffect) {
                        committer.retryAfterBackoff(() -> writeSegment(sealing, body, true));
                    } else {
                        committer.onSealingFinished();
                    }
                });
    }

    private void addSegmentToSlot(Slot.SealResult sealing, long segmentRevision) {
        long droppableAtEpochMillis = sealing.sealed().stream()
                .mapToLong(SlotRecord::droppableAtEpochMillis)
                .max()
                .orElse(0);
        Slot next =
                sealing.remaining().withSegment(new SegmentInfo(segmentId, segmentRevision, droppableAtEpochMillis));
        writeSlot(sealing, next, segmentRevision, false);
    }

    private void writeSlot(Slot.SealResult sealing, Slot next, long segmentRevision, boolean mayHaveTakenEffect) {
        long expectedRevision = committer.revision();
        committer.compareAndSwap(expectedRevision, next, result -> {
            if (result instanceof WriteResult.Done done) {
                committer.cacheCommitted(next, done.revision());
                onSlotWritten(sealing);
                committer.onSealingFinished();
            } else if (result instanceof WriteResult.Conflict conflict) {
                if (committer.updateCache(conflict.current()) && !committer.referencesSegment(segmentId)) {
                    delete(segmentKey, segmentRevision);
                }
                committer.onSealingFinished();
            } else if (result instanceof WriteResult.Unknown || mayHaveTakenEffect) {
                committer.retryAfterBackoff(() -> writeSlot(sealing, next, segmentRevision, true));
            } else {
                delete(segmentKey, segmentRevision);
                committer.onSealingFinished();
            }
        });
    }

    private void onSlotWritten(Slot.SealResult sealing) {
        context.count("sealed");
        if (!sealing.sealed().isEmpty()) {
            segments.put(segmentKey, ImmutableList.copyOf(sealing.sealed()));
        }
        sealing.dropped().forEach(old -> delete(SlotLog.segmentKey(slotName, old.id()), old.revision()));
    }

    private void delete(String key, long revision) {
        if (revision == 0) {
            return;
        }
        committer.onCompletion(context.store().compareAndDelete(key, revision), WriteResult.Unknown::new, result -> {});
    }
}
