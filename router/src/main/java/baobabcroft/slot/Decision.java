package baobabcroft.slot;

/**
 * Outcome of applying a {@link Transition} to a slot.
 *
 * @param <T> type of the transition's result
 */
public sealed interface Decision<T> {
    /**
     * Write a record, replacing any earlier record with the same key.
     *
     * @param record record to write
     * @param result result of the transition once the record is written
     * @param <T> type of the result
     */
    record Put<T>(SlotRecord record, T result) implements Decision<T> {}

    /**
     * Complete the transition without a write.
     *
     * @param result result of the transition
     * @param <T> type of the result
     */
    record Keep<T>(T result) implements Decision<T> {}

    /**
     * Load a segment, then apply the transition again.
     *
     * @param segment segment to load
     * @param <T> type of the result
     */
    record Load<T>(SegmentInfo segment) implements Decision<T> {}
}
