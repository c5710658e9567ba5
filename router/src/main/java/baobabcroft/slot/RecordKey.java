package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Key of a record.
 *
 * @param kind kind of the record
 * @param account client account that owns the record
 * @param name name, unique within the kind and the account
 */
public record RecordKey(RecordKind kind, String account, String name) {
    /** Checks that no component is null. */
    public RecordKey {
        checkNotNull(kind);
        checkNotNull(account);
        checkNotNull(name);
    }

    /**
     * Returns the index of the slot that holds the record, by consistent hashing of the key.
     *
     * @param slotCount number of slots, positive
     * @return index from 0 to {@code slotCount - 1}
     */
    public int slotIndex(int slotCount) {
        return Hashing.consistentHash(hash(), slotCount);
    }

    /** Returns a 64-bit digest of the key. Collisions are rare (one in billions of pairs of keys) but possible. */
    long digest() {
        return hash().asLong();
    }

    private HashCode hash() {
        return Hashing.murmur3_128()
                .newHasher()
                .putInt(kind.code())
                .putInt(account.length())
                .putString(account, StandardCharsets.UTF_8)
                .putString(name, StandardCharsets.UTF_8)
                .hash();
    }
}
