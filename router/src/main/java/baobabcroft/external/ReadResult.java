package baobabcroft.external;

import java.util.List;

/** Outcome of a read. */
public sealed interface ReadResult {
    /**
     * The read took place at one revision; {@code entries} is empty when nothing matched.
     *
     * @param entries what was found, ordered by key
     * @param storeRevision the store's revision at the read
     */
    record Found(List<Versioned> entries, long storeRevision) implements ReadResult {
        /** Copies the entries. */
        public Found {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The store did not answer.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements ReadResult {}
}
