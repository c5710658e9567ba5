package baobabcroft.external;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * Value of a key together with the revision at which it was written.
 *
 * @param key the key
 * @param value the bytes stored, at most a megabyte
 * @param revision the store's revision of the last write to this key; greater than zero
 */
public record Versioned(String key, ByteString value, long revision) {
    /** Checks the parts. */
    public Versioned {
        checkNotNull(key);
        checkNotNull(value);
        checkArgument(revision > 0, "revision must be positive, was %s", revision);
    }
}
