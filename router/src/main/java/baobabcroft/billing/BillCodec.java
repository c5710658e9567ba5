package baobabcroft.billing;

import baobabcroft.billing.proto.BillBatch;
import baobabcroft.billing.proto.BillEntry;
import baobabcroft.billing.proto.BillKind;
import baobabcroft.billing.proto.BillOutcome;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;

/** Encodes bills for the store and for other instances. */
public final class BillCodec {
    private BillCodec() {}

    /**
     * Encodes bills.
     *
     * @param bills the bills
     * @return a {@code BillBatch} message
     */
    public static ByteString encode(List<Bill> bills) {
        BillBatch.Builder batch = BillBatch.newBuilder();
        bills.forEach(bill -> batch.addBills(encode(bill)));
        return batch.build().toByteString();
    }

    /**
     * Decodes bills.
     *
     * @param bytes a {@code BillBatch} message
     * @return the bills
     * @throws InvalidProtocolBufferException if the bytes are no such message
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
            default -> throw new InvalidProtocolBufferException("unknown kind of bill: " + kind);
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
            default -> throw new InvalidProtocolBufferException("unknown outcome of bill: " + outcome);
        };
    }
}
