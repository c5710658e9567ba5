package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;

/**
 * A record of a slot.
 *
 * @param key the record's key
 * @param payload what the record says, encoded by the package that owns its kind
 * @param sealableAtEpochMillis when it may move to a segment, in milliseconds since the epoch
 * @param droppableAtEpochMillis when it may be forgotten, in milliseconds since the epoch
 */
public record SlotRecord(RecordKey key, ByteString payload, long sealableAtEpochMillis, long droppableAtEpochMillis) {
    private static final int OVERHEAD_BYTES = 32;

    /** Checks the parts. */
    public SlotRecord {
        checkNotNull(key);
        checkNotNull(payload);
    }

    /** Returns about how many bytes the record takes in the store. */
    int sizeBytes() {
        return payload.size() + key.account().length() + key.name().length() + OVERHEAD_BYTES;
    }
}
