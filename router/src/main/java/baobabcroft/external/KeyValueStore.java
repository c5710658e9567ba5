package baobabcroft.external;

import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/**
 * The platform's key-value service: compare-and-swap on one key, leases and watches.
 *
 * <p>No stage completes exceptionally for a fault of the service: each result type says what is known. Thread-safe.
 */
public interface KeyValueStore extends AutoCloseable {
    /** Expected revision of a key that must not exist yet. */
    long ABSENT = 0;

    /**
     * Reads one key. Linearizable.
     *
     * @param key the key
     * @return at most one entry
     */
    CompletionStage<ReadResult> read(String key);

    /**
     * Reads all keys that start with a prefix, at one revision. Linearizable.
     *
     * @param prefix the prefix
     * @return the entries ordered by key
     */
    CompletionStage<ReadResult> list(String prefix);

    /**
     * Writes a key if it is still at the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision last read, or {@link #ABSENT}
     * @param value the new value
     * @param leaseId lease that removes the key when it lapses, if any
     * @return what became of the write
     */
    CompletionStage<WriteResult> compareAndSwap(
            String key, long expectedRevision, ByteString value, OptionalLong leaseId);

    /**
     * Deletes a key if it is still at the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision last read
     * @return what became of the delete
     */
    CompletionStage<WriteResult> compareAndDelete(String key, long expectedRevision);

    /**
     * Grants a lease.
     *
     * @param ttlMillis how long it lasts unless renewed, in milliseconds
     * @return the lease
     */
    CompletionStage<LeaseResult> grantLease(long ttlMillis);

    /**
     * Renews a lease once.
     *
     * @param leaseId the lease
     * @return whether it is still held
     */
    CompletionStage<LeaseResult> renewLease(long leaseId);

    /**
     * Revokes a lease; its keys are removed.
     *
     * @param leaseId the lease
     * @return {@link LeaseResult.NotFound} when it is gone
     */
    CompletionStage<LeaseResult> revokeLease(long leaseId);

    /**
     * Watches all keys that start with a prefix until closed, reconnecting by itself.
     *
     * @param prefix the prefix
     * @param listener told of each change, in order of revision, on a thread of the store's
     * @return a handle that stops the watch
     */
    AutoCloseable watch(String prefix, WatchListener listener);

    @Override
    void close();
}
