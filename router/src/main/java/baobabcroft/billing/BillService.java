package baobabcroft.billing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Records bills: in the store, or during an outage in the memory of several instances until the store is back.
 *
 * <p>Thread-safe.
 */
public final class BillService {
    private static final int INSTANCES_WHEN_HELD = 2;

    private final BillingContext context;
    private final BillingSettings settings;
    private final BillHolder holder;
    private final BillJournal journal;
    private final HeldBills heldForOthers;

    private BillService(String instance, BillingContext context, BillingSettings settings, BillHolder holder) {
        this.context = checkNotNull(context);
        this.settings = checkNotNull(settings);
        this.holder = checkNotNull(holder);
        this.journal = new BillJournal(instance, context, settings);
        this.heldForOthers = new HeldBills(journal, context, settings);
    }

    /**
     * Returns a service with a journal of its own.
     *
     * @param instance name of this run of this instance; a restarted one needs another name
     * @param context what billing works with
     * @param settings the settings
     * @param holder the other instances
     * @return the service
     */
    public static BillService create(
            String instance, BillingContext context, BillingSettings settings, BillHolder holder) {
        return new BillService(instance, context, settings, holder);
    }

    /**
     * Records a bill. The end of the answer may be released unless the result is {@link BillResult.Refused}.
     *
     * @param bill the bill
     * @return how safe it is; the bill is written in any case as long as this instance lives
     */
    public CompletionStage<BillResult> record(Bill bill) {
        CompletableFuture<BillResult> result = new CompletableFuture<>();
        AtomicBoolean asked = new AtomicBoolean();
        journal.append(checkNotNull(bill)).thenRun(() -> {
            result.complete(new BillResult.Durable());
            if (asked.get()) {
                holder.release(List.of(bill.id()));
            }
        });
        if (!result.isDone()) {
            long waitMillis = journal.isOut() ? 0 : settings.holdAfterMillis();
            context.scheduler().schedule(waitMillis, () -> hold(bill, result, asked));
            context.scheduler().schedule(settings.refuseAfterMillis(), () -> refuse(result));
        }
        return result;
    }

    private void hold(Bill bill, CompletableFuture<BillResult> result, AtomicBoolean asked) {
        if (result.isDone()) {
            return;
        }
        asked.set(true);
        holder.hold(List.of(bill)).exceptionally(e -> false).thenAccept(held -> {
            if (held) {
                context.count(result.complete(new BillResult.Held(INSTANCES_WHEN_HELD)) ? "held" : "held.late");
            } else {
                context.count("hold.failed");
                context.scheduler().schedule(settings.holdAfterMillis(), () -> hold(bill, result, asked));
            }
        });
    }

    private void refuse(CompletableFuture<BillResult> result) {
        if (result.complete(new BillResult.Refused(settings.backoffMaxMillis()))) {
            context.count("refused");
        }
    }

    /**
     * Returns whether a new request's bill could be recorded now. Asked on admission.
     *
     * @return false if the store is out and no other instance is in reach, or too many bills wait
     */
    public boolean isAvailable() {
        if (journal.waitingCount() + heldForOthers.count() >= settings.maxWaiting()) {
            return false;
        }
        return !journal.isOut() || holder.isReachable();
    }

    /**
     * Holds bills for another instance, and writes them once the store is back unless they are released before.
     *
     * @param bills the bills
     * @return whether they are held now; all or none
     */
    public boolean holdForPeer(List<Bill> bills) {
        return heldForOthers.hold(bills);
    }

    /**
     * Lets go of bills that their own instance has stored.
     *
     * @param ids the bills
     */
    public void releaseForPeer(List<Bill.Id> ids) {
        heldForOthers.release(ids);
    }

    /**
     * Returns how many bills of its own and of others are not stored yet. A graceful shutdown waits for zero.
     *
     * @return the number of bills in memory alone
     */
    public int pendingCount() {
        return journal.waitingCount() + heldForOthers.count();
    }
}
