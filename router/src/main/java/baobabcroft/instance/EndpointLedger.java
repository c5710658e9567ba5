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
public final class EndpointLedger {
    /** Time in which live endpoints register again after an outage of the store. */
    private static final long RETURN_MILLIS = 2_300;

    private final EndpointDirectory directory;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final Consumer<EndpointEntry> onGone;
    private final Map<String, Scheduler.Cancellable> vanishing = new HashMap<>();
    private final EventLog log = EventLog.of(EndpointLedger.class);
    private long undisturbedSinceMillis;

    EndpointLedger(
            EndpointDirectory directory, Scheduler scheduler, LongSupplier nowMillis, Consumer<EndpointEntry> onGone) {
        this.directory = directory;
        this.scheduler = scheduler;
        this.nowMillis = nowMillis;
        this.onGone = onGone;
        this.undisturbedSinceMillis = nowMillis.getAsLong();
    }

    /**
     * Adds or updates an endpoint. A new incarnation replaces the former one, which is reported as removed.
     *
     * @param entry current entry of the endpoint
     */
    public void listed(EndpointEntry entry) {
        stopVanishing(entry.id());
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
        known.filter(former -> !former.isSameIncarnation(entry)).ifPresent(onGone);
        directory.put(entry);
    }

    /**
     * Removes an endpoint that is no longer listed or whose entry cannot be read; with a delay if the store was lost
     * shortly before.
     *
     * @param id id of the endpoint
     */
    public void unlisted(String id) {
        if (nowMillis.getAsLong() - undisturbedSinceMillis >= RETURN_MILLIS) {
            remove(id);
        } else if (directory.find(id).isPresent() && !vanishing.containsKey(id)) {
            vanishing.put(id, scheduler.schedule(RETURN_MILLIS, () -> remove(id)));
        }
    }

    /**
     * Treats every known endpoint that the complete list does not contain as unlisted.
     *
     * @param ids ids of all listed endpoints
     */
    public void onlyListed(Set<String> ids) {
        Set<String> missing = new HashSet<>(directory.ids());
        missing.removeAll(ids);
        missing.forEach(this::unlisted);
    }

    /**
     * Called when the store stops responding. Cancels pending removals, because leases lapse during an outage and live
     * endpoints register again after it.
     */
    public void storeDisturbed() {
        undisturbedSinceMillis = nowMillis.getAsLong();
        vanishing.values().forEach(Scheduler.Cancellable::cancel);
        vanishing.clear();
    }

    private void remove(String id) {
        stopVanishing(id);
        directory.find(id).ifPresent(endpoint -> {
            log.log(LogEvent.ENDPOINT_UNLISTED, id, nowMillis.getAsLong() - undisturbedSinceMillis);
            directory.remove(id);
            onGone.accept(endpoint);
        });
    }

    private void stopVanishing(String id) {
        Scheduler.Cancellable pending = vanishing.remove(id);
        if (pending != null) {
            pending.cancel();
        }
    }
}
