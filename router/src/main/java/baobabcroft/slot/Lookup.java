package baobabcroft.slot;

/** Result of looking up a record in a slot and its segments. */
public sealed interface Lookup {
    /**
     * A record was found.
     *
     * @param record newest record of the key
     */
    record Present(SlotRecord record) implements Lookup {}

    /** Neither the slot nor any of its segments holds a record of the key. */
    record Absent() implements Lookup {}

    /**
     * The lookup needs a segment that is not in the cache.
     *
     * @param segment segment to load before the lookup is repeated
     */
    record NotLoaded(SegmentInfo segment) implements Lookup {}
}
