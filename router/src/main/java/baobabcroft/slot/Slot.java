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
 * Value of one slot: its open and recent records, and the list of its segments. The aggregate of this package.
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

    /** Records to move to a segment, and the slot without them. */
    record Sealing(ImmutableList<SlotRecord> sealed, Slot remaining, ImmutableList<SegmentInfo> dropped) {}

    /**
     * Returns a slot without records.
     *
     * @return the empty slot
     */
    public static Slot empty() {
        return EMPTY;
    }

    /**
     * Returns the slot that {@link #encode} encoded.
     *
     * @param bytes the encoded slot
     * @return the slot
     * @throws InvalidProtocolBufferException if the bytes are no slot
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
     * Returns the slot's value in the store.
     *
     * @return the encoded slot
     */
    public ByteString encode() {
        return SlotCodec.encodeSlot(this);
    }

    /**
     * Returns the records that the slot's own value holds.
     *
     * @return the records, in the order in which they were first written
     */
    public ImmutableList<SlotRecord> records() {
        return records.values().asList();
    }

    /**
     * Returns the segments.
     *
     * @return the segments, oldest first
     */
    public ImmutableList<SegmentInfo> segments() {
        return segments;
    }

    /**
     * Returns the record of a key, if the slot's own value holds it.
     *
     * @param key the key
     * @return the record
     */
    public Optional<SlotRecord> record(RecordKey key) {
        return Optional.ofNullable(records.get(checkNotNull(key)));
    }

    /** Returns about how many bytes the slot's value takes in the store. */
    int sizeBytes() {
        int bytes = segments.size() * SEGMENT_OVERHEAD_BYTES;
        for (SlotRecord record : records.values()) {
            bytes += record.sizeBytes();
        }
        return bytes;
    }

    /** Returns the slot with records put in place of older ones of the same keys. */
    Slot with(Map<RecordKey, SlotRecord> changes) {
        Map<RecordKey, SlotRecord> changed = new LinkedHashMap<>(records);
        changed.putAll(changes);
        return new Slot(ImmutableMap.copyOf(changed), segments);
    }

    /** Returns the slot with one more segment. */
    Slot withSegment(SegmentInfo segment) {
        return new Slot(
                records,
                ImmutableList.<SegmentInfo>builder()
                        .addAll(segments)
                        .add(segment)
                        .build());
    }

    /** Parts the records that may be moved at a time from those that stay; what may be forgotten is in neither. */
    Sealing seal(long nowEpochMillis) {
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
        ImmutableList.Builder<SegmentInfo> live = ImmutableList.builder();
        ImmutableList.Builder<SegmentInfo> dropped = ImmutableList.builder();
        for (SegmentInfo segment : segments) {
            (segment.droppableAtEpochMillis() <= nowEpochMillis ? dropped : live).add(segment);
        }
        return new Sealing(sealed.build(), new Slot(kept.buildOrThrow(), live.build()), dropped.build());
    }
}
