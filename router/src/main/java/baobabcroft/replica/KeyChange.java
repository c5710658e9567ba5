package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;
import java.util.Optional;

/**
 * A write or deletion of a key.
 *
 * @param key the key
 * @param value the new value; empty if the key was deleted
 * @param revision revision of the change
 */
public record KeyChange(String key, Optional<ByteString> value, StoreRevision revision) {
    /** Rejects null components. */
    public KeyChange {
        checkNotNull(key);
        checkNotNull(value);
        checkNotNull(revision);
    }

    static KeyChange of(StoreEntry entry) {
        return new KeyChange(entry.key(), Optional.of(entry.value()), entry.revision());
    }
}
