package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The stage of a rollout, as stored for all instances.
 *
 * @param orderRevision revision of the order that the rollout carries out
 * @param target name of the new version
 * @param stage the current stage
 * @param startedAtEpochMillis wall-clock time of the start, in milliseconds since the epoch
 */
public record RolloutRecord(long orderRevision, String target, RolloutStage stage, long startedAtEpochMillis) {
    /** Rejects null components. */
    public RolloutRecord {
        checkNotNull(target);
        checkNotNull(stage);
    }

    RolloutRecord withStage(RolloutStage next) {
        return new RolloutRecord(orderRevision, target, next, startedAtEpochMillis);
    }
}
