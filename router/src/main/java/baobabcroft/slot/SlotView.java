package baobabcroft.slot;

/** A slot at one revision, with its segments, as a {@link Transition} sees it. */
@FunctionalInterface
public interface SlotView {
    /**
     * Looks for the newest record of a key.
     *
     * @param key the key
     * @return what was found
     */
    Lookup find(RecordKey key);
}
