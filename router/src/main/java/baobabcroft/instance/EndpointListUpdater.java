package baobabcroft.instance;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Applies the platform's endpoint list to the directory. An endpoint that disappears from the list shortly after the
 * store was lost is removed with a delay, because live endpoints register again. Not thread-safe.
 */
public final class EndpointListUpdater {
    /** Time in which live endpoints register again after an outage of the store. */
    private static final long REREGISTRATION_MILLIS = 2_300;

    private final EndpointDirectory directory;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final Consumer<EndpointEntry> onRemoved;
    private final Map<String, Scheduler.Cancellable> pendingRemovals = new HashMap<>();
    private final EventLog log = EventLog.of(EndpointListUpdater.class);
    private long storeLostAtMillis;

    EndpointListUpdater(
            EndpointDirectory directory,
            Scheduler scheduler,
            LongSupplier nowMillis,
            Consumer<EndpointEntry> onRemoved) {
        this.directory = directory;
        this.scheduler = scheduler;
        this.nowMillis = nowMillis;
        this.onRemoved = onRemoved;
        this.storeLostAtMillis = nowMillis.getAsLong();
    }

    /**
     * Adds or updates an endpoint. A new incarnation replaces the former one, which is reported as removed.
     *
     * @param entry current entry of the endpoint
     */
    public void onListed(EndpointEntry entry) {
        cancelPendingRemoval(entry.id());
        Optional<EndpointEntry> known = directory.find(entry.id());
        if (!known.equals(Optional.of(entry))) {
            log.log(
                    LogEvent.ENDPOINT_LISTED,
                    entry.id(),
                    entry.address(),
                    entry.failureDomain(),
                    entry.version(),
                    entry.leaving());
        }
        known.filter(former -> !former.isSameIncarnation(entry)).ifPresent(onRemoved);
        directory.put(entry);
    }

    /**
     * Removes an endpoint that is no longer listed or whose entry cannot be read; with a delay if the store was lost
     * shortly before.
     *
     * @param id id of the endpoint
     */
    public void onUnlisted(String id) {
        if (nowMillis.getAsLong() - storeLostAtMillis >= REREGISTRATION_MILLIS) {
            remove(id);
        } else if (directory.find(id).isPresent() && !pendingRemovals.containsKey(id)) {
            pendingRemovals.put(id, scheduler.schedule(REREGISTRATION_MILLIS, () -> remove(id)));
        }
    }

    /**
     * Treats every known endpoint that the complete list does not contain as unlisted.
     *
     * @param ids ids of all listed endpoints
     */
    public void onCompleteList(Set<String> ids) {
        Set<String> missing = new HashSet<>(directory.ids());
        missing.removeAll(ids);
        missing.forEach(this::onUnlisted);
    }

    /**
     * Called when the store stops responding. Cancels pending removals, because leases lapse during an outage and live
     * endpoints register again after it.
     */
    public void onStoreLost() {
        storeLostAtMillis = nowMillis.getAsLong();
        pendingRemovals.values().forEach(Scheduler.Cancellable::cancel);
        pendingRemovals.clear();
    }

    private void remove(String id) {
        cancelPendingRemoval(id);
        directory.find(id).ifPresent(endpoint -> {
            log.log(LogEvent.ENDPOINT_UNLISTED, id, nowMillis.getAsLong() - storeLostAtMillis);
            directory.remove(id);
            onRemoved.accept(endpoint);
        });
    }

    private void cancelPendingRemoval(String id) {
        Scheduler.Cancellable pending = pendingRemovals.remove(id);
        if (pending != null) {
            pending.cancel();
        }
    }
}
