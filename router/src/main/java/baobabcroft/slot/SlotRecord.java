package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * A record stored in a slot.
 *
 * @param key key, which determines the slot
 * @param payload content, encoded by the package that owns the record kind
 * @param sealableAtEpochMillis time from which the record may be moved to a segment, in milliseconds since the epoch
 * @param droppableAtEpochMillis time from which the record may be deleted, in milliseconds since the epoch
 */
public record SlotRecord(RecordKey key, ByteString payload, long sealableAtEpochMillis, long droppableAtEpochMillis) {
    private static final int OVERHEAD_BYTES = 32;

    /** Checks that key and payload are not null. */
    public SlotRecord {
        checkNotNull(key);
        checkNotNull(payload);
    }

    /** Returns the approximate encoded size of the record, in bytes. */
    int sizeBytes() {
        return payload.size() + key.account().length() + key.name().length() + OVERHEAD_BYTES;
    }
}
