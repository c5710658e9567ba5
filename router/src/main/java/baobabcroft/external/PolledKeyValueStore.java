package baobabcroft.external;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Consumer;

/**
 * Client of the platform's key-value service that watches all keys through one long poll and writes single keys.
 *
 * <p>It costs less than {@link KeyValueStore} on a platform that charges for each call and each pending watch. Confined
 * to one thread.
 */
public interface PolledKeyValueStore {
    /** Receives the state of the keys and their changes, in order of revision. */
    interface Listener {
        /**
         * Called when all keys were read. Keys that are missing were deleted, or the service has temporarily lost them.
         *
         * @param entries all keys with their values
         */
        void onSnapshot(List<Versioned> entries);

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
         */
        void onDelete(String key);

        /**
         * Called when the service becomes unavailable.
         *
         * @param reason description of the failure, for logs
         */
        void onUnavailable(String reason);

        /** Called at the first response, and at the first one after an outage. */
        void onAvailable();

        /** Called at each response, also if no key has changed. */
        void onResponse();

        /**
         * Returns the delay between a response and the next poll, during which changes accumulate, in milliseconds.
         *
         * @return the delay, shorter than any bound on the time that a change takes to reach all instances
         */
        long pollDelayMillis();
    }

    /**
     * Watches all keys until the process ends. Retries automatically after failures.
     *
     * @param listener receives each change
     */
    void watchAll(Listener listener);

    /**
     * Writes a key if it is still at the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision last read, or {@link KeyValueStore#ABSENT}
     * @param value the new value
     * @param callback receives the outcome of the write
     */
    void compareAndSwap(String key, long expectedRevision, ByteString value, Consumer<WriteResult> callback);

    /**
     * Writes a key that no other instance writes. A failed write is logged and not retried.
     *
     * @param key the key
     * @param value the new value
     */
    void put(String key, ByteString value);
}
