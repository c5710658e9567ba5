package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * A key of the store with its value.
 *
 * @param key the key
 * @param value the stored bytes
 * @param revision revision of the last write to the key
 */
public record StoreEntry(String key, ByteString value, StoreRevision revision) {
    /** Rejects null components. */
    public StoreEntry {
        checkNotNull(key);
        checkNotNull(value);
        checkNotNull(revision);
    }

    /** Returns the size of the key and the value, in bytes. */
    long sizeBytes() {
        return key.length() + (long) value.size();
    }
}
