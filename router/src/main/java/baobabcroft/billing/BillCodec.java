package baobabcroft.billing;

import baobabcroft.billing.proto.BillBatch;
import baobabcroft.billing.proto.BillEntry;
import baobabcroft.billing.proto.BillKind;
import baobabcroft.billing.proto.BillOutcome;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;

/** Converts bills to and from {@code BillBatch} messages, the format in the store and between instances. */
public final class BillCodec {
    private BillCodec() {}

    /**
     * Returns bills encoded as a {@code BillBatch} message.
     *
     * @param bills bills to encode, in order
     * @return the serialized message
     */
    public static ByteString encode(List<Bill> bills) {
        BillBatch.Builder batch = BillBatch.newBuilder();
        bills.forEach(bill -> batch.addBills(encode(bill)));
        return batch.build().toByteString();
    }

    /**
     * Returns the bills of a {@code BillBatch} message.
     *
     * @param bytes the serialized message
     * @return the bills, in the order of the message
     * @throws InvalidProtocolBufferException if the bytes are not a valid {@code BillBatch} message
     */
    public static ImmutableList<Bill> decode(ByteString bytes) throws InvalidProtocolBufferException {
        ImmutableList.Builder<Bill> bills = ImmutableList.builder();
        for (BillEntry entry : BillBatch.parseFrom(bytes).getBillsList()) {
            bills.add(decode(entry));
        }
        return bills.build();
    }

    private static BillEntry encode(Bill bill) {
        return BillEntry.newBuilder()
                .setAccount(bill.account())
                .setRequestId(bill.requestId())
                .setKind(encode(bill.kind()))
                .setItem(bill.item())
                .setTokens(bill.tokens())
                .setAmountMicros(bill.amountMicros())
                .setOutcome(encode(bill.outcome()))
                .setAtEpochMillis(bill.atEpochMillis())
                .build();
    }

    private static Bill decode(BillEntry entry) throws InvalidProtocolBufferException {
        return new Bill(
                entry.getAccount(),
                entry.getRequestId(),
                decode(entry.getKind()),
                entry.getItem(),
                entry.getTokens(),
                entry.getAmountMicros(),
                decode(entry.getOutcome()),
                entry.getAtEpochMillis());
    }

    private static BillKind encode(Bill.Kind kind) {
        return switch (kind) {
            case GENERATION -> BillKind.BILL_KIND_GENERATION;
            case OPERATION -> BillKind.BILL_KIND_OPERATION;
        };
    }

    private static Bill.Kind decode(BillKind kind) throws InvalidProtocolBufferException {
        return switch (kind) {
            case BILL_KIND_GENERATION -> Bill.Kind.GENERATION;
            case BILL_KIND_OPERATION -> Bill.Kind.OPERATION;
            default -> throw new InvalidProtocolBufferException("unknown bill kind: " + kind);
        };
    }

    private static BillOutcome encode(Bill.Outcome outcome) {
        return switch (outcome) {
            case ANSWERED -> BillOutcome.BILL_OUTCOME_ANSWERED;
            case CUT_OFF -> BillOutcome.BILL_OUTCOME_CUT_OFF;
            case UNKNOWN -> BillOutcome.BILL_OUTCOME_UNKNOWN;
        };
    }

    private static Bill.Outcome decode(BillOutcome outcome) throws InvalidProtocolBufferException {
        return switch (outcome) {
            case BILL_OUTCOME_ANSWERED -> Bill.Outcome.ANSWERED;
            case BILL_OUTCOME_CUT_OFF -> Bill.Outcome.CUT_OFF;
            case BILL_OUTCOME_UNKNOWN -> Bill.Outcome.UNKNOWN;
            default -> throw new InvalidProtocolBufferException("unknown bill outcome: " + outcome);
        };
    }
}
