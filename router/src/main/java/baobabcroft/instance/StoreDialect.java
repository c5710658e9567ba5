package baobabcroft.instance;

import baobabcroft.replica.SharedKeyWriter;
import baobabcroft.replica.StoreEntry;
import baobabcroft.rollout.RolloutStatusWriter;

/** Translates the keys that a platform defines in its store into the router's types. */
public interface StoreDialect {
    /**
     * Reads a key and passes what it contains to the receiver. Contents that cannot be parsed are logged.
     *
     * @param entry the key with its value
     * @param receiver receives what the key contains
     */
    void read(StoreEntry entry, StoreDocuments receiver);

    /**
     * Passes the deletion of a key to the receiver.
     *
     * @param key the key
     * @param receiver receives what the deletion means
     */
    void readDeletion(String key, StoreDocuments receiver);

    /**
     * Returns a writer of the status of rollouts in the platform's format.
     *
     * @param writer writes keys of the store
     * @return the writer
     */
    RolloutStatusWriter rolloutStatusWriter(SharedKeyWriter writer);
}
