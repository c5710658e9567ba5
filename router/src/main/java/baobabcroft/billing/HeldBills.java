package baobabcroft.billing;

import baobabcroft.external.ReadResult;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bills held in memory for other instances. A bill is kept until its owner releases it, or until the store has answered
 * several consecutive checks and this instance has written the bill to its own journal.
 *
 * <p>Thread-safe.
 */
final class HeldBills {
    private static final int CONSECUTIVE_ANSWERS_BEFORE_WRITING = 2;

    private final BillJournal journal;
    private final BillingContext context;
    private final BillingSettings settings;
    private final Map<Bill.Id, Bill> held = new LinkedHashMap<>();
    private boolean checkScheduled;
    private int consecutiveAnswers;

    HeldBills(BillJournal journal, BillingContext context, BillingSettings settings) {
        this.journal = journal;
        this.context = context;
        this.settings = settings;
    }

    /** Holds all given bills, or none if the limit would be exceeded; returns whether they are held. */
    synchronized boolean hold(List<Bill> bills) {
        if (held.size() + journal.pendingCount() + bills.size() > settings.maxPendingBills()) {
            return false;
        }
        bills.forEach(bill -> held.put(bill.id(), bill));
        if (!checkScheduled) {
            checkScheduled = true;
            scheduleCheck();
        }
        return true;
    }

    synchronized void release(List<Bill.Id> ids) {
        ids.forEach(held::remove);
    }

    synchronized int count() {
        return held.size();
    }

    private void scheduleCheck() {
        context.scheduler().schedule(settings.heldBillsCheckIntervalMillis(), this::checkStore);
    }

    private void checkStore() {
        context.store()
                .read(BillJournal.PREFIX)
                .exceptionally(e -> new ReadResult.Unavailable(String.valueOf(e.getMessage())))
                .thenAccept(this::onCheckResult);
    }

    private void onCheckResult(ReadResult result) {
        List<Bill> toWrite = new ArrayList<>();
        synchronized (this) {
            consecutiveAnswers = result instanceof ReadResult.Found ? consecutiveAnswers + 1 : 0;
            if (consecutiveAnswers >= CONSECUTIVE_ANSWERS_BEFORE_WRITING) {
                toWrite.addAll(held.values());
                consecutiveAnswers = 0;
            }
            checkScheduled = !held.isEmpty();
            if (checkScheduled) {
                scheduleCheck();
            }
        }
        for (Bill bill : toWrite) {
            journal.append(bill).thenRun(() -> release(List.of(bill.id())));
        }
    }
}
