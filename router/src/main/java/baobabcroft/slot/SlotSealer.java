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

    void seal(Slot.Sealing sealing) {
        if (sealing.sealed().isEmpty()) {
            list(sealing, sealing.remaining(), 0, false);
            return;
        }
        writeSegment(sealing, SlotCodec.encodeSegment(sealing.sealed()), false);
    }

    private void writeSegment(Slot.Sealing sealing, ByteString body, boolean mayHaveTakenEffect) {
        committer.on(
                context.store().compareAndSwap(segmentKey, KeyValueStore.ABSENT, body, OptionalLong.empty()),
                WriteResult.Unknown::new,
                result -> {
                    if (result instanceof WriteResult.Done done) {
                        listSegment(sealing, done.revision());
                    } else if (result instanceof WriteResult.Conflict conflict) {
                        listSegment(
                                sealing,
                                conflict.current().map(Versioned::revision).orElse(0L));
                    } else if (result instanceof WriteResult.Unknown || mayHaveTakenEffect) {
                        committer.retry(() -> writeSegment(sealing, body, true));
                    } else {
                        committer.sealingEnded();
                    }
                });
    }

    private void listSegment(Slot.Sealing sealing, long segmentRevision) {
        long droppableAtEpochMillis = sealing.sealed().stream()
                .mapToLong(SlotRecord::droppableAtEpochMillis)
                .max()
                .orElse(0);
        Slot next =
                sealing.remaining().withSegment(new SegmentInfo(segmentId, segmentRevision, droppableAtEpochMillis));
        list(sealing, next, segmentRevision, false);
    }

    private void list(Slot.Sealing sealing, Slot next, long segmentRevision, boolean mayHaveTakenEffect) {
        long expectedRevision = committer.revision();
        committer.swap(expectedRevision, next, result -> {
            if (result instanceof WriteResult.Done done) {
                committer.committed(next, done.revision());
                listed(sealing);
                committer.sealingEnded();
            } else if (result instanceof WriteResult.Conflict conflict) {
                if (committer.adopt(conflict.current()) && !committer.listsSegment(segmentId)) {
                    delete(segmentKey, segmentRevision);
                }
                committer.sealingEnded();
            } else if (result instanceof WriteResult.Unknown || mayHaveTakenEffect) {
                committer.retry(() -> list(sealing, next, segmentRevision, true));
            } else {
                delete(segmentKey, segmentRevision);
                committer.sealingEnded();
            }
        });
    }

    private void listed(Slot.Sealing sealing) {
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
        committer.on(context.store().compareAndDelete(key, revision), WriteResult.Unknown::new, result -> {});
    }
}
