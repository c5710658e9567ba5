package baobabcroft.external;

/** Receives the changes of watched keys. Called by one thread at a time. */
public interface WatchListener {
    /**
     * A key was written.
     *
     * @param entry the key as it is now
     */
    void onPut(Versioned entry);

    /**
     * A key was deleted, or its lease lapsed.
     *
     * @param key the key
     * @param revision the revision of the deletion
     */
    void onDelete(String key, long revision);

    /** Changes may have been missed: read again whatever is cached. Also called after each reconnection. */
    void onGap();

    /**
     * The watch's connection failed; it is being opened again.
     *
     * @param reason what was seen
     */
    void onDisconnected(String reason);
}
