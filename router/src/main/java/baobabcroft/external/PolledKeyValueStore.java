package baobabcroft.external;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's key-value service as one instance follows it: all keys through one watch, and conditional writes.
 *
 * <p>Cheaper than {@link KeyValueStore} where each call and each waiting watch is paid for. Used on one thread.
 */
public interface PolledKeyValueStore {
    /** Told of the keys, in order of revision. */
    interface Listener {
        /**
         * All keys were read. Keys that are not among them have been deleted, or the service has lost them for now.
         *
         * @param entries the keys
         */
        void onSnapshot(List<Versioned> entries);

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
         */
        void onDelete(String key);

        /**
         * The service does not answer.
         *
         * @param reason what was seen
         */
        void onUnavailable(String reason);

        /** The service answers again, or for the first time. */
        void onAvailable();

        /** The service has answered, also if nothing has changed. */
        void onResponse();

        /**
         * Returns how long changes are gathered before the next look, in milliseconds.
         *
         * @return the pause, less than any bound on the spread of a change
         */
        long pollDelayMillis();
    }

    /**
     * Follows all keys until the process ends, reconnecting by itself.
     *
     * @param listener told of each change
     */
    void watchAll(Listener listener);

    /**
     * Writes a key if it is still at the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision last seen, or {@link KeyValueStore#ABSENT}
     * @param value the new value
     * @param then receives what became of the write
     */
    void compareAndSwap(String key, long expectedRevision, ByteString value, Consumer<WriteResult> then);

    /**
     * Writes a key that only this instance writes. A write that fails is logged and not repeated.
     *
     * @param key the key
     * @param value the new value
     */
    void put(String key, ByteString value);
}
