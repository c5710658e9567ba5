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
 * Keeps the directory in step with the platform's list. Entries that vanish while the list's store is disturbed, or
 * shortly after, are kept for a moment: live endpoints register again. Not thread-safe.
 */
public final class EndpointLedger {
    /** Time within which live endpoints are back in the list after the store's return, in milliseconds. */
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
     * Takes an entry from the list.
     *
     * @param entry the entry
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
     * Hears that an entry is no longer listed, or cannot be read.
     *
     * @param id identity of the endpoint
     */
    public void unlisted(String id) {
        if (nowMillis.getAsLong() - undisturbedSinceMillis >= RETURN_MILLIS) {
            remove(id);
        } else if (directory.find(id).isPresent() && !vanishing.containsKey(id)) {
            vanishing.put(id, scheduler.schedule(RETURN_MILLIS, () -> remove(id)));
        }
    }

    /**
     * Takes the whole list.
     *
     * @param ids the endpoints that it holds
     */
    public void onlyListed(Set<String> ids) {
        Set<String> missing = new HashSet<>(directory.ids());
        missing.removeAll(ids);
        missing.forEach(this::unlisted);
    }

    /** The list's store does not answer: nothing is forgotten until it has been back for a while. */
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
