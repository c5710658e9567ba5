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
    private static final int ANSWERS_BEFORE_WRITING = 2;

    private final BillJournal journal;
    private final BillingContext context;
    private final BillingSettings settings;
    private final Map<Bill.Id, Bill> held = new LinkedHashMap<>();
    private boolean checking;
    private int answersInARow;

    HeldBills(BillJournal journal, BillingContext context, BillingSettings settings) {
        this.journal = journal;
        this.context = context;
        this.settings = settings;
    }

    /** Holds all given bills, or none if the limit would be exceeded; returns whether they are held. */
    synchronized boolean hold(List<Bill> bills) {
        if (held.size() + journal.waitingCount() + bills.size() > settings.maxWaiting()) {
            return false;
        }
        bills.forEach(bill -> held.put(bill.id(), bill));
        if (!checking) {
            checking = true;
            checkLater();
        }
        return true;
    }

    synchronized void release(List<Bill.Id> ids) {
        ids.forEach(held::remove);
    }

    synchronized int count() {
        return held.size();
    }

    private void checkLater() {
        context.scheduler().schedule(settings.writeHeldAfterMillis(), this::check);
    }

    private void check() {
        context.store()
                .read(BillJournal.PREFIX)
                .exceptionally(e -> new ReadResult.Unavailable(String.valueOf(e.getMessage())))
                .thenAccept(this::checked);
    }

    private void checked(ReadResult result) {
        List<Bill> toWrite = new ArrayList<>();
        synchronized (this) {
            answersInARow = result instanceof ReadResult.Found ? answersInARow + 1 : 0;
            if (answersInARow >= ANSWERS_BEFORE_WRITING) {
                toWrite.addAll(held.values());
                answersInARow = 0;
            }
            checking = !held.isEmpty();
            if (checking) {
                checkLater();
            }
        }
        for (Bill bill : toWrite) {
            journal.append(bill).thenRun(() -> release(List.of(bill.id())));
        }
    }
}
