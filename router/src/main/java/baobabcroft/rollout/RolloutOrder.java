package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.replica.StoreRevision;

/**
 * An operator's order to move the traffic of a service to endpoints of a new version.
 *
 * @param service name of the service
 * @param target name of the new version
 * @param durationMillis time within which the rollout must be complete, in milliseconds; must be positive
 * @param revision revision of the order in the store, which identifies the order
 */
public record RolloutOrder(String service, String target, long durationMillis, StoreRevision revision) {
    /** Rejects null components and a duration that is not positive. */
    public RolloutOrder {
        checkNotNull(service);
        checkNotNull(target);
        checkNotNull(revision);
        checkArgument(durationMillis > 0, "durationMillis not positive: %s", durationMillis);
    }

    /** Returns whether another order of the service asks for the same, and may thus be the same order written again. */
    boolean hasSameContent(RolloutOrder other) {
        return target.equals(other.target) && durationMillis == other.durationMillis;
    }

    RolloutOrder withRevision(StoreRevision other) {
        return new RolloutOrder(service, target, durationMillis, other);
    }
}
