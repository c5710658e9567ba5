package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.pace.EndpointPace;
import baobabcroft.replica.ReplicaListener;
import baobabcroft.replica.StoreEntry;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.rollout.RolloutOrder;
import baobabcroft.rollout.RolloutStage;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.RoutingTableHolder;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Applies the contents of the store to what this instance believes. Nothing moves backwards when the store has returned
 * from a copy: each receiver keeps what it knows better. Not thread-safe.
 */
final class StoreContents implements ReplicaListener, StoreDocuments {
    private final StoreDialect dialect;
    private final RoutingTableHolder routing;
    private final EndpointListUpdater endpointList;
    private final EvacuationOrders evacuations;
    private final FleetRollouts rollouts;
    private final SharedStoreRecords sharedRecords;
    private final LongSupplier nowMillis;
    private final EventLog log = EventLog.of(StoreContents.class);
    private Optional<EndpointPace> pace = Optional.empty();
    private boolean complete;
    private long unavailableSinceMillis;

    StoreContents(
            StoreDialect dialect,
            RoutingTableHolder routing,
            EndpointListUpdater endpointList,
            EvacuationOrders evacuations,
            FleetRollouts rollouts,
            SharedStoreRecords sharedRecords,
            LongSupplier nowMillis) {
        this.dialect = checkNotNull(dialect);
        this.routing = checkNotNull(routing);
        this.endpointList = checkNotNull(endpointList);
        this.evacuations = checkNotNull(evacuations);
        this.rollouts = checkNotNull(rollouts);
        this.sharedRecords = checkNotNull(sharedRecords);
        this.nowMillis = checkNotNull(nowMillis);
    }

    /** Sets what is notified of the starts of endpoints and of returned failure domains. */
    void notify(EndpointPace newPace) {
        pace = Optional.of(newPace);
    }

    /** Returns whether the complete contents were read once, a condition of readiness. */
    boolean isComplete() {
        return complete;
    }

    @Override
    public void onEraStarted(long era) {
        log.log(LogEvent.STORE_ERA_STARTED, era);
        endpointList.onEraStarted();
        evacuations.onEraStarted();
        rollouts.onEraStarted(era);
    }

    @Override
    public void onPut(StoreEntry entry) {
        apply(entry.key(), () -> dialect.read(entry, this));
    }

    @Override
    public void onDelete(String key) {
        apply(key, () -> dialect.readDeletion(key, this));
    }

    /** Applies one key. Whatever is wrong with it, the others hold, and the store is read on. */
    private void apply(String key, Runnable change) {
        try {
            change.run();
        } catch (RuntimeException unreadable) {
            log.log(LogEvent.SHARED_KEY_UNREADABLE, key, unreadable.toString());
        }
    }

    @Override
    public void onSnapshotEnd() {
        endpointList.onSnapshotEnd();
        evacuations.onSnapshotEnd();
        complete = true;
        pace.ifPresent(EndpointPace::onContentsRead);
    }

    @Override
    public void onUnavailable(String reason) {
        unavailableSinceMillis = nowMillis.getAsLong();
        endpointList.onStoreLost();
        log.log(LogEvent.STORE_UNAVAILABLE, reason);
    }

    @Override
    public void onAvailable() {
        endpointList.onStoreRecovered();
        if (complete) {
            log.log(LogEvent.STORE_RECOVERED, nowMillis.getAsLong() - unavailableSinceMillis);
        }
    }

    @Override
    public void onConfiguration(RoutingTable table) {
        if (routing.updateIfNewer(table)) {
            log.log(LogEvent.CONFIG_APPLIED, table.version(), "", "operators", "store");
        }
    }

    @Override
    public void onEndpointListed(EndpointEntry entry, long reportNumber) {
        endpointList.onListed(entry, reportNumber);
    }

    @Override
    public void onWarmUp(EndpointEntry entry, long remainingMillis) {
        pace.ifPresent(paces -> paces.onEntry(entry, remainingMillis));
    }

    @Override
    public void onEvacuation(String failureDomain, boolean ordered) {
        if (ordered) {
            evacuations.onOrdered(failureDomain);
        } else {
            evacuations.onRemoved(failureDomain);
        }
    }

    @Override
    public void onEndpointUnlisted(String id) {
        endpointList.onUnlisted(id);
    }

    @Override
    public void onRolloutOrder(RolloutOrder order) {
        rollouts.onOrder(order);
    }

    @Override
    public void onRolloutStatus(String service, Optional<RolloutStage> stage, String target, StoreRevision revision) {
        rollouts.onStatus(service, stage, target, revision);
    }

    @Override
    public void onOtherKey(StoreEntry entry) {
        sharedRecords.onPut(entry);
    }

    @Override
    public void onOtherKeyDeleted(String key) {
        sharedRecords.onDelete(key);
    }
}
