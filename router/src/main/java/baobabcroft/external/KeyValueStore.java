package baobabcroft.external;

import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/**
 * Client of the platform's key-value service: compare-and-swap on single keys, leases and watches.
 *
 * <p>No stage completes exceptionally because the service failed: each result type has cases for that. Thread-safe.
 */
public interface KeyValueStore extends AutoCloseable {
    /** Expected revision of a key that must not exist. */
    long ABSENT = 0;

    /**
     * Reads one key. The read is linearizable.
     *
     * @param key the key
     * @return at most one entry
     */
    CompletionStage<ReadResult> read(String key);

    /**
     * Reads all keys that start with a prefix, at one revision. The read is linearizable.
     *
     * @param prefix the prefix; empty for all keys
     * @return the entries ordered by key
     */
    CompletionStage<ReadResult> list(String prefix);

    /**
     * Writes a key if it is still at the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision last read, or {@link #ABSENT}
     * @param value the new value
     * @param leaseId lease that deletes the key when it expires, if any
     * @return the outcome of the write
     */
    CompletionStage<WriteResult> compareAndSwap(
            String key, long expectedRevision, ByteString value, OptionalLong leaseId);

    /**
     * Deletes a key if it is still at the expected revision.
     *
     * @param key the key
     * @param expectedRevision the revision last read
     * @return the outcome of the deletion
     */
    CompletionStage<WriteResult> compareAndDelete(String key, long expectedRevision);

    /**
     * Grants a lease.
     *
     * @param ttlMillis time to live unless renewed, in milliseconds; greater than zero
     * @return the lease, with the time to live that the service granted
     */
    CompletionStage<LeaseResult> grantLease(long ttlMillis);

    /**
     * Renews a lease once.
     *
     * @param leaseId the lease
     * @return the lease, or {@link LeaseResult.NotFound} if it does not exist any more
     */
    CompletionStage<LeaseResult> renewLease(long leaseId);

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param leaseId the lease
     * @return {@link LeaseResult.NotFound} once the lease does not exist any more
     */
    CompletionStage<LeaseResult> revokeLease(long leaseId);

    /**
     * Watches all keys that start with a prefix until closed. Reconnects automatically.
     *
     * @param prefix the prefix; empty for all keys
     * @param listener receives each change in order of revision, on a thread of the store
     * @return a handle that closes the watch
     */
    AutoCloseable watch(String prefix, WatchListener listener);

    @Override
    void close();
}
