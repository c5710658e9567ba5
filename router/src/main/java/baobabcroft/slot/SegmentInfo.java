package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Reference from a slot to a segment, which holds settled records that were moved out of the slot's value.
 *
 * @param id identifier of the segment, unique within its slot
 * @param revision store revision at which the segment was written
 * @param droppableAtEpochMillis time from which the segment may be deleted, in milliseconds since the epoch
 */
public record SegmentInfo(String id, long revision, long droppableAtEpochMillis) {
    /** Checks that the identifier is not null. */
    public SegmentInfo {
        checkNotNull(id);
    }
}
