package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Applies the platform's endpoint list to the directory.
 *
 * <p>An endpoint that disappears from the list around a loss of contact with the store is removed with a delay, because
 * live endpoints register again after an outage; until then it counts as missing. When the store has returned from a
 * copy, entries in its first contents that are older than what is known are ignored: an endpoint that was leaving or
 * gone does not receive requests again. Not thread-safe.
 */
public final class EndpointListUpdater {
    /** Time after an outage of the store in which live endpoints register again. */
    private static final long REREGISTRATION_MILLIS = 2_300;
    /** Shortest loss of contact after which the delay of a removal begins again. */
    private static final long MIN_OUTAGE_MILLIS = 1_000;
    /** Removed endpoints that are remembered, to recognize their entries in a copy. */
    private static final int MAX_REMOVED = 1_000;

    private final EndpointDirectory directory;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final long contactMillis;
    private final Consumer<EndpointEntry> onRemoved;
    private final Map<String, Long> reportNumbers = new HashMap<>();
    private final Map<String, Missing> unlisted = new HashMap<>();
    private final Map<String, Removed> removed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Removed> eldest) {
            return size() > MAX_REMOVED;
        }
    };
    private final EventLog log = EventLog.of(EndpointListUpdater.class);
    private long graceUntilMillis;
    private long undisturbedSinceMillis;
    private long lostAtMillis;
    private boolean storeLost;
    private boolean readingCopy;

    /**
     * An endpoint that is not listed, and its removal.
     *
     * @param removeAtMillis time of the removal; the greatest one if the store has to return first
     * @param removal the scheduled removal
     */
    private record Missing(long removeAtMillis, Scheduler.Cancellable removal) {
        private static Missing untilRecovery() {
            return new Missing(Long.MAX_VALUE, () -> {});
        }

        private Missing withoutTimer() {
            removal.cancel();
            return new Missing(removeAtMillis, () -> {});
        }
    }

    /** The last entry of an endpoint that is gone. */
    private record Removed(EndpointEntry entry, long reportNumber) {}

    EndpointListUpdater(
            EndpointDirectory directory,
            Scheduler scheduler,
            LongSupplier nowMillis,
            long contactMillis,
            Consumer<EndpointEntry> onRemoved) {
        checkArgument(contactMillis > 0, "contactMillis not positive: %s", contactMillis);
        this.directory = checkNotNull(directory);
        this.scheduler = checkNotNull(scheduler);
        this.nowMillis = checkNotNull(nowMillis);
        this.contactMillis = contactMillis;
        this.onRemoved = checkNotNull(onRemoved);
        this.undisturbedSinceMillis = nowMillis.getAsLong();
        this.graceUntilMillis = undisturbedSinceMillis + REREGISTRATION_MILLIS;
    }

    /**
     * Adds or updates an endpoint. A new incarnation replaces the former one, which is reported as removed.
     *
     * @param entry current entry of the endpoint
     * @param reportNumber number of the endpoint's report; 0 if unknown
     */
    public void onListed(EndpointEntry entry, long reportNumber) {
        if (readingCopy && isOutdated(entry, reportNumber)) {
            log.log(LogEvent.ENDPOINT_OUTDATED, entry.id(), reportNumber);
            return;
        }
        cancelRemoval(entry.id());
        removed.remove(entry.id());
        reportNumbers.put(entry.id(), reportNumber);
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

    /** Returns whether an entry of a copy is older than what is known of the endpoint. */
    private boolean isOutdated(EndpointEntry entry, long reportNumber) {
        Removed gone = removed.get(entry.id());
        if (gone != null) {
            return isNotNewer(entry, reportNumber, gone.entry(), gone.reportNumber());
        }
        Optional<EndpointEntry> known = directory.find(entry.id());
        boolean returnsToService = known.filter(EndpointEntry::leaving).isPresent() && !entry.leaving();
        boolean otherIncarnation =
                known.filter(other -> !other.isSameIncarnation(entry)).isPresent();
        return (returnsToService || otherIncarnation)
                && isNotNewer(entry, reportNumber, known.get(), reportNumbers.getOrDefault(entry.id(), 0L));
    }

    private static boolean isNotNewer(EndpointEntry entry, long number, EndpointEntry known, long knownNumber) {
        return entry.isSameIncarnation(known)
                ? number <= knownNumber
                : entry.startedAtEpochMillis() < known.startedAtEpochMillis();
    }

    /**
     * Removes an endpoint that is no longer listed or whose entry cannot be read; with a delay if the store was lost or
     * has returned from a copy shortly before.
     *
     * @param id id of the endpoint
     */
    public void onUnlisted(String id) {
        if (directory.find(id).isEmpty() || unlisted.containsKey(id)) {
            return;
        }
        if (!storeLost && graceUntilMillis <= nowMillis.getAsLong()) {
            remove(id);
            return;
        }
        directory.markMissing(id);
        if (storeLost) {
            unlisted.put(id, Missing.untilRecovery());
        } else {
            removeAt(id, graceUntilMillis);
        }
    }

    /** Called when the store stops responding. Endpoints that are about to be removed are kept until it returns. */
    public void onStoreLost() {
        if (!storeLost) {
            storeLost = true;
            lostAtMillis = nowMillis.getAsLong();
            unlisted.replaceAll((id, missing) -> missing.withoutTimer());
        }
    }

    /**
     * Called when the store responds again. Endpoints that are not listed have some time to register again. A loss that
     * is too short for entries to lapse does not defer removals that were due, however often it occurs.
     */
    public void onStoreRecovered() {
        if (!storeLost) {
            return;
        }
        storeLost = false;
        undisturbedSinceMillis = nowMillis.getAsLong();
        if (undisturbedSinceMillis - lostAtMillis >= MIN_OUTAGE_MILLIS) {
            startGrace(REREGISTRATION_MILLIS);
            return;
        }
        if (graceUntilMillis <= undisturbedSinceMillis) {
            graceUntilMillis = undisturbedSinceMillis + REREGISTRATION_MILLIS;
        }
        ImmutableMap.copyOf(unlisted)
                .forEach((id, missing) -> removeAt(id, Math.min(missing.removeAtMillis(), graceUntilMillis)));
    }

    /** Called when the store has returned from a copy, before the endpoints in the copy are reported. */
    public void onEraStarted() {
        readingCopy = true;
        undisturbedSinceMillis = nowMillis.getAsLong();
        startGrace(contactMillis);
    }

    /** Called when all endpoints in the store have been reported. */
    public void onSnapshotEnd() {
        readingCopy = false;
    }

    private void startGrace(long millis) {
        graceUntilMillis = Math.max(graceUntilMillis, nowMillis.getAsLong() + millis);
        if (storeLost) {
            unlisted.replaceAll((id, missing) -> Missing.untilRecovery());
        } else {
            ImmutableSet.copyOf(unlisted.keySet()).forEach(id -> removeAt(id, graceUntilMillis));
        }
    }

    private void removeAt(String id, long atMillis) {
        cancelRemoval(id);
        long delayMillis = Math.max(0, atMillis - nowMillis.getAsLong());
        unlisted.put(id, new Missing(atMillis, scheduler.schedule(delayMillis, () -> remove(id))));
    }

    private void remove(String id) {
        cancelRemoval(id);
        directory.find(id).ifPresent(endpoint -> {
            log.log(LogEvent.ENDPOINT_UNLISTED, id, nowMillis.getAsLong() - undisturbedSinceMillis);
            Long reportNumber = reportNumbers.remove(id);
            removed.put(id, new Removed(endpoint, reportNumber == null ? 0 : reportNumber));
            directory.remove(id);
            onRemoved.accept(endpoint);
        });
    }

    private void cancelRemoval(String id) {
        Missing missing = unlisted.remove(id);
        if (missing != null) {
            missing.removal().cancel();
        }
    }
}
