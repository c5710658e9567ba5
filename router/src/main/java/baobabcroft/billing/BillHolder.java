package baobabcroft.billing;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Other instances that hold this one's bills while the store is out. */
@FunctionalInterface
public interface BillHolder {
    /**
     * Asks another instance, in another failure domain if there is one, to hold bills and to write them if this
     * instance does not.
     *
     * @param bills the bills
     * @return whether an instance holds them now
     */
    CompletionStage<Boolean> hold(List<Bill> bills);

    /**
     * Tells the others that bills are durable and need not be held any longer. May be lost.
     *
     * @param ids the bills
     */
    default void release(List<Bill.Id> ids) {}

    /**
     * Returns whether another instance is in reach.
     *
     * @return false if {@link #hold} would fail now
     */
    default boolean isReachable() {
        return true;
    }
}
