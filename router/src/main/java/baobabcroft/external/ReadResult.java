package baobabcroft.external;

import java.util.List;

/** Outcome of reading one key or a range of keys. */
public sealed interface ReadResult {
    /**
     * The read succeeded, at one revision.
     *
     * @param entries the entries found, ordered by key; empty if no key matched
     * @param storeRevision the store's revision at which the read took place
     */
    record Found(List<Versioned> entries, long storeRevision) implements ReadResult {
        /** Copies the entries. */
        public Found {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The read failed.
     *
     * @param reason description of the failure, for logs
     */
    record Unavailable(String reason) implements ReadResult {}
}
