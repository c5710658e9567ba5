package baobabcroft.slot;

/**
 * A change of a slot, computed from the current value of the slot alone.
 *
 * <p>A transition is applied again whenever the slot has been changed by another commit, and also after its own write
 * has taken effect but the reply was lost. In the latter case it must recognize its own record.
 *
 * @param <T> type of the transition's result
 */
@FunctionalInterface
public interface Transition<T> {
    /**
     * Computes the change. Must be free of side effects.
     *
     * @param view current value of the slot and its segments
     * @param nowEpochMillis current time, in milliseconds since the epoch
     * @return record to write, result without a write, or segment to load before the transition is applied again
     */
    Decision<T> apply(SlotView view, long nowEpochMillis);
}
