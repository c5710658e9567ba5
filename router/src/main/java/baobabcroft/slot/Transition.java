package baobabcroft.slot;

/**
 * A change of a slot, decided from its present value alone.
 *
 * <p>A transition is applied again whenever the slot turns out to have changed, and also after its own write took
 * effect unnoticed. It must recognise its own record then.
 *
 * @param <T> type of its result
 */
@FunctionalInterface
public interface Transition<T> {
    /**
     * Decides.
     *
     * @param view the slot
     * @param nowEpochMillis the time, in milliseconds since the epoch
     * @return what to do
     */
    Decision<T> apply(SlotView view, long nowEpochMillis);
}
