package baobabcroft.slot;

/**
 * Outcome of submitting a transition.
 *
 * @param <T> type of the transition's result
 */
public sealed interface CommitResult<T> {
    /**
     * The transition's result holds durably.
     *
     * @param value the result
     * @param <T> type of the result
     */
    record Committed<T>(T value) implements CommitResult<T> {}

    /**
     * The transition did not get through in time, and whatever it may have written is being undone.
     *
     * @param retryAfterMillis when to try again, in milliseconds from now
     * @param <T> type of the result
     */
    record Unavailable<T>(long retryAfterMillis) implements CommitResult<T> {}
}
