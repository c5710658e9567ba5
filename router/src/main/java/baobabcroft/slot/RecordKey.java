package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Key of a record.
 *
 * @param kind what the record is about
 * @param account client account that it belongs to
 * @param name name that is unique within kind and account
 */
public record RecordKey(RecordKind kind, String account, String name) {
    /** Checks the parts. */
    public RecordKey {
        checkNotNull(kind);
        checkNotNull(account);
        checkNotNull(name);
    }

    /**
     * Returns the slot that holds the record.
     *
     * @param slots how many slots there are
     * @return a number from zero
     */
    public int slot(int slots) {
        return Hashing.consistentHash(hash(), slots);
    }

    /** Returns a digest that tells keys apart in all but one of some billion pairs. */
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
