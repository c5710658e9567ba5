package baobabcroft.slot;

import baobabcroft.slot.proto.Kind;
import baobabcroft.slot.proto.RecordEntry;
import baobabcroft.slot.proto.SegmentBody;
import baobabcroft.slot.proto.SegmentEntry;
import baobabcroft.slot.proto.SlotHead;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;

/** Encodes slots and segments as protobuf messages, and decodes them. */
final class SlotCodec {
    private SlotCodec() {}

    static ByteString encodeSlot(Slot slot) {
        SlotHead.Builder head = SlotHead.newBuilder();
        slot.records().forEach(record -> head.addRecords(encode(record)));
        slot.segments().forEach(segment -> head.addSegments(encode(segment)));
        return head.build().toByteString();
    }

    static Slot decodeSlot(ByteString bytes) throws InvalidProtocolBufferException {
        SlotHead head = SlotHead.parseFrom(bytes);
        ImmutableList.Builder<SlotRecord> records = ImmutableList.builder();
        for (RecordEntry entry : head.getRecordsList()) {
            records.add(decode(entry));
        }
        ImmutableList.Builder<SegmentInfo> segments = ImmutableList.builder();
        for (SegmentEntry entry : head.getSegmentsList()) {
            segments.add(new SegmentInfo(entry.getId(), entry.getRevision(), entry.getDroppableAtEpochMillis()));
        }
        return Slot.of(records.build(), segments.build());
    }

    static ByteString encodeSegment(List<SlotRecord> records) {
        SegmentBody.Builder body = SegmentBody.newBuilder();
        records.forEach(record -> body.addRecords(encode(record)));
        return body.build().toByteString();
    }

    static ImmutableList<SlotRecord> decodeSegment(ByteString bytes) throws InvalidProtocolBufferException {
        ImmutableList.Builder<SlotRecord> records = ImmutableList.builder();
        for (RecordEntry entry : SegmentBody.parseFrom(bytes).getRecordsList()) {
            records.add(decode(entry));
        }
        return records.build();
    }

    private static RecordEntry encode(SlotRecord record) {
        return RecordEntry.newBuilder()
                .setKind(encode(record.key().kind()))
                .setAccount(record.key().account())
                .setName(record.key().name())
                .setPayload(record.payload())
                .setSealableAtEpochMillis(record.sealableAtEpochMillis())
                .setDroppableAtEpochMillis(record.droppableAtEpochMillis())
                .build();
    }

    private static SegmentEntry encode(SegmentInfo segment) {
        return SegmentEntry.newBuilder()
                .setId(segment.id())
                .setRevision(segment.revision())
                .setDroppableAtEpochMillis(segment.droppableAtEpochMillis())
                .build();
    }

    private static SlotRecord decode(RecordEntry entry) throws InvalidProtocolBufferException {
        return new SlotRecord(
                new RecordKey(decode(entry.getKind()), entry.getAccount(), entry.getName()),
                entry.getPayload(),
                entry.getSealableAtEpochMillis(),
                entry.getDroppableAtEpochMillis());
    }

    private static Kind encode(RecordKind kind) {
        return switch (kind) {
            case CLAIM -> Kind.KIND_CLAIM;
            case PIN -> Kind.KIND_PIN;
        };
    }

    private static RecordKind decode(Kind kind) throws InvalidProtocolBufferException {
        return switch (kind) {
            case KIND_CLAIM -> RecordKind.CLAIM;
            case KIND_PIN -> RecordKind.PIN;
            default -> throw new InvalidProtocolBufferException("unknown record kind: " + kind);
        };
    }
}
