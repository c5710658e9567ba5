package baobabcroft.billing;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Access to other instances that hold copies of this instance's bills during a store outage. */
@FunctionalInterface
public interface BillHolder {
    /**
     * Asks another instance, preferably in another failure domain, to hold bills and to write them unless this
     * instance releases them first.
     *
     * @param bills the bills to hold
     * @return whether another instance now holds the bills
     */
    CompletionStage<Boolean> hold(List<Bill> bills);

    /**
     * Notifies the other instances that bills are durable and no longer need to be held. The notification may be lost.
     *
     * @param ids identities of the durable bills
     */
    default void release(List<Bill.Id> ids) {}

    /**
     * Returns whether another instance is reachable.
     *
     * @return false if {@link #hold} would currently fail
     */
    default boolean isReachable() {
        return true;
    }
}
