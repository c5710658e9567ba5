package baobabcroft.external;

/** Receives the changes of watched keys. Its methods are called by one thread at a time. */
public interface WatchListener {
    /**
     * Called when a key was written.
     *
     * @param entry the key with its new value and revision
     */
    void onPut(Versioned entry);

    /**
     * Called when a key was deleted, or its lease expired.
     *
     * @param key the key
     * @param revision the revision of the deletion
     */
    void onDelete(String key, long revision);

    /** Called each time the watch is established. Changes may have been missed, so cached keys must be read again. */
    void onGap();

    /**
     * Called when the connection of the watch failed; a reconnection is scheduled.
     *
     * @param reason description of the failure, for logs
     */
    void onDisconnected(String reason);
}
