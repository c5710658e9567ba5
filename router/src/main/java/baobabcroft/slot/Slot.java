package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Value of one slot: its open and recent records, and references to its segments.
 *
 * <p>Immutable and thread-safe.
 */
public final class Slot {
    private static final int SEGMENT_OVERHEAD_BYTES = 40;
    private static final Slot EMPTY = new Slot(ImmutableMap.of(), ImmutableList.of());

    private final ImmutableMap<RecordKey, SlotRecord> records;
    private final ImmutableList<SegmentInfo> segments;

    private Slot(ImmutableMap<RecordKey, SlotRecord> records, ImmutableList<SegmentInfo> segments) {
        this.records = records;
        this.segments = segments;
    }

    /** Result of {@link #seal}: records to move to a segment, the remaining slot, and segments to delete. */
    record SealResult(ImmutableList<SlotRecord> sealed, Slot remaining, ImmutableList<SegmentInfo> dropped) {}

    /**
     * Returns a slot without records and segments.
     *
     * @return the empty slot
     */
    public static Slot empty() {
        return EMPTY;
    }

    /**
     * Decodes a slot from the result of {@link #encode}.
     *
     * @param bytes the encoded slot
     * @return the decoded slot
     * @throws InvalidProtocolBufferException if the bytes are not an encoded slot
     */
    public static Slot decode(ByteString bytes) throws InvalidProtocolBufferException {
        return SlotCodec.decodeSlot(bytes);
    }

    static Slot of(List<SlotRecord> records, List<SegmentInfo> segments) {
        Map<RecordKey, SlotRecord> byKey = new LinkedHashMap<>();
        records.forEach(record -> byKey.put(record.key(), record));
        return new Slot(ImmutableMap.copyOf(byKey), ImmutableList.copyOf(segments));
    }

    /**
     * Returns the slot in the encoding in which it is stored.
     *
     * @return the encoded slot
     */
    public ByteString encode() {
        return SlotCodec.encodeSlot(this);
    }

    /**
     * Returns the records in the slot's value, without those in its segments.
     *
     * @return the records, in the order in which their keys were first written
     */
    public ImmutableList<SlotRecord> records() {
        return records.values().asList();
    }

    /**
     * Returns references to the segments of the slot.
     *
     * @return the segments, oldest first
     */
    public ImmutableList<SegmentInfo> segments() {
        return segments;
    }

    /**
     * Returns the record of a key from the slot's value; segments are not searched.
     *
     * @param key key of the record
     * @return the record, or empty if the slot's value has none for the key
     */
    public Optional<SlotRecord> record(RecordKey key) {
        return Optional.ofNullable(records.get(checkNotNull(key)));
    }

    /** Returns the approximate encoded size of the slot's value, in bytes. */
    int sizeBytes() {
        int bytes = segments.size() * SEGMENT_OVERHEAD_BYTES;
        for (SlotRecord record : records.values()) {
            bytes += record.sizeBytes();
        }
        return bytes;
    }

    /** Returns a copy of the slot with the given records added, replacing records with the same keys. */
    Slot with(Map<RecordKey, SlotRecord> changes) {
        Map<RecordKey, SlotRecord> changed = new LinkedHashMap<>(records);
        changed.putAll(changes);
        return new Slot(ImmutableMap.copyOf(changed), segments);
    }

    /** Returns a copy of the slot with one more segment, as its newest. */
    Slot withSegment(SegmentInfo segment) {
        return new Slot(
                records,
                ImmutableList.<SegmentInfo>builder()
                        .addAll(segments)
                        .add(segment)
                        .build());
    }

    /**
     * Separates the records that may be moved to a segment at the given time from those that remain in the slot.
     * Expired records are in neither group; expired segments are listed as dropped.
     */
    SealResult seal(long nowEpochMillis) {
        ImmutableList.Builder<SlotRecord> sealed = ImmutableList.builder();
        ImmutableMap.Builder<RecordKey, SlotRecord> kept = ImmutableMap.builder();
        for (SlotRecord record : records.values()) {
            if (record.droppableAtEpochMillis() <= nowEpochMillis) {
                continue;
            }
            if (record.sealableAtEpochMillis() <= nowEpochMillis) {
                sealed.add(record);
            } else {
                kept.put(record.key(), record);
            }
        }
        ImmutableList.Builder<SegmentInfo> retained = ImmutableList.builder();
        ImmutableList.Builder<SegmentInfo> dropped = ImmutableList.builder();
        for (SegmentInfo segment : segments) {
            (segment.droppableAtEpochMillis() <= nowEpochMillis ? dropped : retained).add(segment);
        }
        return new SealResult(sealed.build(), new Slot(kept.buildOrThrow(), retained.build()), dropped.build());
    }
}
