package baobabcroft.slot;

/** Outcome of looking for a record in a slot and its segments. */
public sealed interface Lookup {
    /**
     * The newest record of the key.
     *
     * @param record the record
     */
    record Present(SlotRecord record) implements Lookup {}

    /** No record of the key is kept. */
    record Absent() implements Lookup {}

    /**
     * A segment has to be read before the question can be answered.
     *
     * @param segment the segment
     */
    record NotLoaded(SegmentInfo segment) implements Lookup {}
}
