package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A segment that a slot lists: settled records that were moved out of the slot's own value.
 *
 * @param id name of the segment, unique within its slot
 * @param revision revision at which it was written
 * @param droppableAtEpochMillis when all its records may be forgotten, in milliseconds since the epoch
 */
public record SegmentInfo(String id, long revision, long droppableAtEpochMillis) {
    /** Checks the parts. */
    public SegmentInfo {
        checkNotNull(id);
    }
}
