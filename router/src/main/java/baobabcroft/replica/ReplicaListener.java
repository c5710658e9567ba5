package baobabcroft.replica;

/** Receives the contents of the replica and their changes. Called on the thread of the {@link StoreReplica}. */
public interface ReplicaListener {
    /**
     * Called when the store has returned in a later era, before the contents of that era are reported. Acknowledged
     * writes and deletions of the last seconds may be undone in what follows, until {@link #onSnapshotEnd}.
     *
     * @param era the new era
     */
    void onEraStarted(long era);

    /**
     * Called when a key was written, or is part of a new era's contents.
     *
     * @param entry the key with its value
     */
    void onPut(StoreEntry entry);

    /**
     * Called when a key was deleted, or is missing in a new era's contents.
     *
     * @param key the key
     */
    void onDelete(String key);

    /** Called when the complete contents of the store have been reported. */
    void onSnapshotEnd();

    /**
     * Called when neither the store nor an instance that reads it can be reached.
     *
     * @param reason description of the failure, for logs
     */
    void onUnavailable(String reason);

    /** Called at the first contact, and at the first one after an outage. */
    void onAvailable();
}
