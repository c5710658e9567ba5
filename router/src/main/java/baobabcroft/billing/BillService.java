package baobabcroft.billing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Records bills in the store. During a store outage, several instances hold each bill in memory until it can be
 * written.
 *
 * <p>Thread-safe.
 */
public final class BillService {
    private static final int HOLDING_INSTANCE_COUNT = 2;

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
     * Returns a service that writes a journal under the given instance name.
     *
     * @param instance name of this process of the instance; a restarted instance must use a new name
     * @param context store, executors, clock and metrics
     * @param settings timeouts and size limits
     * @param holder access to other instances that hold bills during an outage
     * @return a new service
     */
    public static BillService create(
            String instance, BillingContext context, BillingSettings settings, BillHolder holder) {
        return new BillService(instance, context, settings, holder);
    }

    /**
     * Records a bill. The end of the answer may be sent to the caller unless the result is {@link BillResult.Refused}.
     *
     * @param bill the bill to record
     * @return where the bill is held; whatever the result, this instance retries the write for as long as it runs
     */
    public CompletionStage<BillResult> record(Bill bill) {
        CompletableFuture<BillResult> result = new CompletableFuture<>();
        AtomicBoolean holdRequested = new AtomicBoolean();
        journal.append(checkNotNull(bill)).thenRun(() -> {
            result.complete(new BillResult.Durable());
            if (holdRequested.get()) {
                holder.release(List.of(bill.id()));
            }
        });
        if (!result.isDone()) {
            long waitMillis = journal.isStoreUnavailable() ? 0 : settings.holdAfterMillis();
            context.scheduler().schedule(waitMillis, () -> requestHold(bill, result, holdRequested));
            context.scheduler().schedule(settings.refuseAfterMillis(), () -> refuse(result));
        }
        return result;
    }

    private void requestHold(Bill bill, CompletableFuture<BillResult> result, AtomicBoolean holdRequested) {
        if (result.isDone()) {
            return;
        }
        holdRequested.set(true);
        holder.hold(List.of(bill)).exceptionally(e -> false).thenAccept(held -> {
            if (held) {
                context.count(result.complete(new BillResult.Held(HOLDING_INSTANCE_COUNT)) ? "held" : "held.late");
            } else {
                context.count("hold.failed");
                context.scheduler()
                        .schedule(settings.holdAfterMillis(), () -> requestHold(bill, result, holdRequested));
            }
        });
    }

    private void refuse(CompletableFuture<BillResult> result) {
        if (result.complete(new BillResult.Refused(settings.backoffMaxMillis()))) {
            context.count("refused");
        }
    }

    /**
     * Returns whether the bill of a new request could be recorded now. Checked on admission.
     *
     * @return false if the store is unavailable and no other instance is reachable, or if the number of bills that are
     *     not stored yet has reached {@link BillingSettings#maxPendingBills}
     */
    public boolean isAvailable() {
        if (journal.pendingCount() + heldForOthers.count() >= settings.maxPendingBills()) {
            return false;
        }
        return !journal.isStoreUnavailable() || holder.isReachable();
    }

    /**
     * Holds bills for another instance, and writes them once the store is available again unless they are released
     * first.
     *
     * @param bills the bills of the other instance
     * @return true if all bills are held now, false if none is
     */
    public boolean holdForPeer(List<Bill> bills) {
        return heldForOthers.hold(bills);
    }

    /**
     * Removes bills that the other instance has stored itself.
     *
     * @param ids identities of the stored bills
     */
    public void releaseForPeer(List<Bill.Id> ids) {
        heldForOthers.release(ids);
    }

    /**
     * Returns the number of bills, of this instance and held for others, that are not stored yet. A graceful shutdown
     * waits until it is zero.
     *
     * @return the number of bills held only in memory
     */
    public int pendingCount() {
        return journal.pendingCount() + heldForOthers.count();
    }
}
