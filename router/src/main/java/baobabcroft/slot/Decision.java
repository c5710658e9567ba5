package baobabcroft.slot;

/**
 * What a {@link Transition} wants done.
 *
 * @param <T> type of its result
 */
public sealed interface Decision<T> {
    /**
     * Write a record in place of any older one of the same key.
     *
     * @param record the record
     * @param result the result once it is written
     * @param <T> type of the result
     */
    record Put<T>(SlotRecord record, T result) implements Decision<T> {}

    /**
     * Leave the slot as it is.
     *
     * @param result the result
     * @param <T> type of the result
     */
    record Keep<T>(T result) implements Decision<T> {}

    /**
     * Read a segment, then ask again.
     *
     * @param segment the segment
     * @param <T> type of the result
     */
    record Load<T>(SegmentInfo segment) implements Decision<T> {}
}
