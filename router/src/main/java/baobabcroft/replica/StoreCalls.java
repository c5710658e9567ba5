package baobabcroft.replica;

import baobabcroft.external.WriteResult;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The calls of the platform's key-value service. An implementation translates them and decides nothing: it neither
 * retries nor interprets a response. Each callback is called exactly once, on the caller's thread.
 */
public interface StoreCalls {
    /** Response to {@link #readPage}. */
    sealed interface PageReply {}

    /** Response to {@link #watch}. */
    sealed interface WatchReply {}

    /**
     * A page of all keys. Pages are not a snapshot: the store may change between them.
     *
     * @param position the store's revision when the page was read
     * @param entries the entries, ordered by key
     * @param truncated whether more keys follow
     */
    record Page(StoreRevision position, ImmutableList<StoreEntry> entries, boolean truncated) implements PageReply {}

    /**
     * All changes after the requested revision.
     *
     * @param position the store's revision up to which the changes are complete
     * @param changes the changes in order of revision
     */
    record Changes(StoreRevision position, ImmutableList<KeyChange> changes) implements WatchReply {}

    /** The store no longer has the history after the requested revision, or never had that revision. */
    record HistoryGone() implements WatchReply {}

    /** The changes take more bytes than the caller wanted to receive; the rest was not received. */
    record ChangesTooLarge() implements WatchReply {}

    /**
     * No usable response.
     *
     * @param reason description of the failure, for logs
     */
    record NoReply(String reason) implements PageReply, WatchReply {}

    /**
     * Response to {@link #compareAndSwap}.
     *
     * @param era the store's era according to the response; empty if there was no response
     * @param result the outcome
     */
    record WriteReply(OptionalLong era, WriteResult result) {}

    /** How recent a read must be. */
    enum Freshness {
        /** Linearizable. */
        CURRENT,
        /** May be some seconds old, at a fraction of the cost. */
        STALE_ALLOWED
    }

    /**
     * Reads a page of all keys.
     *
     * @param afterKey the last key of the previous page; empty for the first page
     * @param freshness how recent the page must be
     * @param callback receives the page
     */
    void readPage(Optional<String> afterKey, Freshness freshness, Consumer<PageReply> callback);

    /**
     * Waits for changes of any key.
     *
     * @param afterNumber revision number after which changes are wanted
     * @param waitMillis longest wait at the store, in milliseconds
     * @param maxBytes keys and values beyond which the changes are not received, in bytes
     * @param callback receives the changes, none if the wait is over
     */
    void watch(long afterNumber, long waitMillis, long maxBytes, Consumer<WatchReply> callback);

    /**
     * Writes a key if it is still at the expected revision.
     *
     * @param key the key
     * @param expectedNumber the expected revision number; 0 if the key must not exist
     * @param value the new value
     * @param callback receives the outcome
     */
    void compareAndSwap(String key, long expectedNumber, ByteString value, Consumer<WriteReply> callback);
}
