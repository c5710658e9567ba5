package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EvacuatedDomains;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Applies the operators' orders to evacuate failure domains.
 *
 * <p>An order that is missing when the store has returned from a copy stays in force until the store has confirmed its
 * keys again: until a view of the store is known that is {@code contactMillis} newer than the return. Operators have
 * that time to write the order again. Without the store, the last known orders stay in force. Not thread-safe.
 */
final class EvacuationOrders {
    /** Interval at which the age of the view is looked at while orders are held. */
    private static final long CHECK_MILLIS = 250;

    private final EvacuatedDomains evacuated;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final LongSupplier viewAgeMillis;
    private final long contactMillis;
    private final Runnable onOrdered;
    private final Consumer<String> onEnded;
    /** Orders that are missing after a return of the store, by failure domain, with the time to be confirmed. */
    private final Map<String, Long> heldUntilMillis = new HashMap<>();

    private final EventLog log = EventLog.of(EvacuationOrders.class);
    private boolean readingCopy;
    private boolean checkScheduled;

    /**
     * Creates an object without orders.
     *
     * @param evacuated receives the orders that are in force
     * @param scheduler runs timers on the instance's thread
     * @param nowMillis monotonic clock, in milliseconds
     * @param viewAgeMillis age of the view of the store: all changes before that are known, in milliseconds
     * @param contactMillis time after a return of the store from a copy for which missing orders hold, in milliseconds
     * @param onOrdered run after an order has come into force
     * @param onEnded called with the failure domain after an order has ended
     */
    EvacuationOrders(
            EvacuatedDomains evacuated,
            Scheduler scheduler,
            LongSupplier nowMillis,
            LongSupplier viewAgeMillis,
            long contactMillis,
            Runnable onOrdered,
            Consumer<String> onEnded) {
        checkArgument(contactMillis > 0, "contactMillis not positive: %s", contactMillis);
        this.evacuated = checkNotNull(evacuated);
        this.scheduler = checkNotNull(scheduler);
        this.nowMillis = checkNotNull(nowMillis);
        this.viewAgeMillis = checkNotNull(viewAgeMillis);
        this.contactMillis = contactMillis;
        this.onOrdered = checkNotNull(onOrdered);
        this.onEnded = checkNotNull(onEnded);
    }

    /** Called with an order that the store contains. */
    void onOrdered(String failureDomain) {
        heldUntilMillis.remove(failureDomain);
        if (evacuated.add(failureDomain)) {
            log.log(LogEvent.EVACUATION_CHANGED, failureDomain, "ordered");
            onOrdered.run();
        }
    }

    /** Called when an order was deleted, or is missing after the return of the store. */
    void onRemoved(String failureDomain) {
        if (!evacuated.contains(failureDomain)) {
            return;
        }
        if (!readingCopy) {
            end(failureDomain);
            return;
        }
        log.log(LogEvent.EVACUATION_CHANGED, failureDomain, "missing in the store's copy, still in force");
        heldUntilMillis.put(failureDomain, nowMillis.getAsLong() + contactMillis);
        scheduleCheck();
    }

    /** Called when the store has returned from a copy, before the orders in the copy are reported. */
    void onEraStarted() {
        readingCopy = true;
        heldUntilMillis.replaceAll((failureDomain, unused) -> nowMillis.getAsLong() + contactMillis);
    }

    /** Called when all orders in the store have been reported. */
    void onSnapshotEnd() {
        readingCopy = false;
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            scheduler.schedule(CHECK_MILLIS, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        long confirmedAtMillis = nowMillis.getAsLong() - viewAgeMillis.getAsLong();
        for (String failureDomain : List.copyOf(heldUntilMillis.keySet())) {
            if (heldUntilMillis.get(failureDomain) <= confirmedAtMillis) {
                end(failureDomain);
            }
        }
        if (!heldUntilMillis.isEmpty()) {
            scheduleCheck();
        }
    }

    private void end(String failureDomain) {
        heldUntilMillis.remove(failureDomain);
        evacuated.remove(failureDomain);
        log.log(LogEvent.EVACUATION_CHANGED, failureDomain, "ended");
        onEnded.accept(failureDomain);
    }
}
