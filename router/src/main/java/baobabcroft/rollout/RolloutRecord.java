package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A roll-out's stage as all instances share it.
 *
 * @param orderRevision the order that it belongs to
 * @param target the new version
 * @param stage how far it has come
 * @param startedAtEpochMillis wall clock of its start, in milliseconds since the epoch
 */
public record RolloutRecord(long orderRevision, String target, RolloutStage stage, long startedAtEpochMillis) {
    /** Checks the parts. */
    public RolloutRecord {
        checkNotNull(target);
        checkNotNull(stage);
    }

    RolloutRecord at(RolloutStage next) {
        return new RolloutRecord(orderRevision, target, next, startedAtEpochMillis);
    }
}
