package baobabcroft.slot;

/**
 * Outcome of submitting a transition.
 *
 * @param <T> type of the transition's result
 */
public sealed interface CommitResult<T> {
    /**
     * The transition was committed durably, or needed no write.
     *
     * @param value result of the transition
     * @param <T> type of the result
     */
    record Committed<T>(T value) implements CommitResult<T> {}

    /**
     * The transition was rejected or was not committed within its timeout. If a write was sent, it is being undone.
     *
     * @param retryAfterMillis suggested delay before the next attempt, in milliseconds
     * @param <T> type of the result
     */
    record Unavailable<T>(long retryAfterMillis) implements CommitResult<T> {}
}
