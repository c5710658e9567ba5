package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Operators' order to move a service's traffic to endpoints of a new version.
 *
 * @param service name of the service
 * @param target the new version
 * @param durationMillis time within which the move is to be done, in milliseconds
 * @param revision the store's revision of the order, which tells two orders apart
 */
public record RolloutOrder(String service, String target, long durationMillis, long revision) {
    /** Checks the parts. */
    public RolloutOrder {
        checkNotNull(service);
        checkNotNull(target);
        checkArgument(durationMillis > 0, "durationMillis not positive: %s", durationMillis);
    }
}
