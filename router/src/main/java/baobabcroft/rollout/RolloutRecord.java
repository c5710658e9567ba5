package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.replica.StoreRevision;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Set;

/**
 * The stage of a rollout, as stored for all instances.
 *
 * @param orderEra era of the store in which the order was first seen; 0 in records of earlier releases
 * @param orderRevision revision number of the order in that era
 * @param target name of the new version
 * @param durationMillis duration of the order, in milliseconds; 0 in records of earlier releases
 * @param stage the current stage
 * @param startedAtEpochMillis wall-clock time of the start, in milliseconds since the epoch
 * @param revertedVersions versions that earlier rollouts of the service were reverted from; their endpoints may still
 *     be listed
 */
public record RolloutRecord(
        long orderEra,
        long orderRevision,
        String target,
        long durationMillis,
        RolloutStage stage,
        long startedAtEpochMillis,
        ImmutableSet<String> revertedVersions) {
    /** Rejects null components. */
    public RolloutRecord {
        checkNotNull(target);
        checkNotNull(stage);
        checkNotNull(revertedVersions);
    }

    static RolloutRecord of(
            RolloutOrder order, RolloutStage stage, long startedAtEpochMillis, Set<String> revertedVersions) {
        return new RolloutRecord(
                order.revision().era(),
                order.revision().number(),
                order.target(),
                order.durationMillis(),
                stage,
                startedAtEpochMillis,
                ImmutableSet.copyOf(revertedVersions));
    }

    /** Returns the revision that identifies the order. */
    StoreRevision order() {
        return new StoreRevision(orderEra, orderRevision);
    }

    /** Returns whether the record carries out an order with the content of the given one. */
    boolean hasContentOf(RolloutOrder other) {
        return target.equals(other.target()) && (durationMillis == 0 || durationMillis == other.durationMillis());
    }

    /** Returns the versions that were reverted by the time of this record, including its own target. */
    Set<String> allRevertedVersions() {
        return stage == RolloutStage.REVERTED ? Sets.union(revertedVersions, Set.of(target)) : revertedVersions;
    }

    RolloutRecord withStage(RolloutStage next) {
        return new RolloutRecord(
                orderEra, orderRevision, target, durationMillis, next, startedAtEpochMillis, revertedVersions);
    }
}
