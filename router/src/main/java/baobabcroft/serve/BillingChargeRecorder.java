package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.billing.Bill;
import baobabcroft.billing.BillResult;
import baobabcroft.billing.BillService;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.gateway.Charge;
import baobabcroft.gateway.ChargeRecorder;
import java.time.InstantSource;
import java.util.concurrent.CompletionStage;

/** Records charges as bills through the billing service. Thread-safe. */
final class BillingChargeRecorder implements ChargeRecorder {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final BillService bills;
    private final InstantSource wallClock;

    BillingChargeRecorder(BillService bills, InstantSource wallClock) {
        this.bills = checkNotNull(bills);
        this.wallClock = checkNotNull(wallClock);
    }

    @Override
    public void requireAvailable() {
        if (!bills.isAvailable()) {
            throw RouterException.notRun(
                    ErrorCode.BILLING_UNAVAILABLE, "bills cannot be recorded at present", RETRY_AFTER_MILLIS);
        }
    }

    @Override
    public CompletionStage<Void> record(Charge charge) {
        return bills.record(bill(charge)).thenAccept(result -> {
            if (result instanceof BillResult.Refused) {
                throw RouterException.of(
                        ErrorCode.BILLING_UNAVAILABLE, Execution.RAN, "the bill could not be recorded in time");
            }
        });
    }

    private Bill bill(Charge charge) {
        return new Bill(
                charge.account(),
                charge.billingId(),
                charge.tokens() > 0 ? Bill.Kind.GENERATION : Bill.Kind.OPERATION,
                charge.item(),
                charge.tokens(),
                charge.amountMicros(),
                charge.complete() ? Bill.Outcome.ANSWERED : Bill.Outcome.CUT_OFF,
                wallClock.millis());
    }
}
