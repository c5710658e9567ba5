package baobabcroft.slot;

/** Read-only view of a slot and its segments at one revision, passed to a {@link Transition}. */
@FunctionalInterface
public interface SlotView {
    /**
     * Looks up the newest record of a key.
     *
     * @param key key of the record
     * @return the record, its absence, or the segment to load first
     */
    Lookup find(RecordKey key);
}
