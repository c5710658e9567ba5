package baobabcroft.external;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * A key with its value and the revision at which it was written.
 *
 * @param key the key
 * @param value the stored bytes, at most 1 MiB
 * @param revision the store's revision at the last write to this key; greater than zero
 */
public record Versioned(String key, ByteString value, long revision) {
    /** Checks the components. */
    public Versioned {
        checkNotNull(key);
        checkNotNull(value);
        checkArgument(revision > 0, "revision must be positive, was %s", revision);
    }
}
