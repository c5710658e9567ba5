package baobabcroft.retry;

/** Whether a failed request is tried again. */
public sealed interface RetryDecision {
    /**
     * The request is tried again.
     *
     * @param delayMillis time to wait before, in milliseconds
     */
    record Retry(long delayMillis) implements RetryDecision {}

    /**
     * The request is not tried again.
     *
     * @param reason why not
     */
    record Stop(StopReason reason) implements RetryDecision {}

    /** Why a request is not tried again; each is a counter. */
    enum StopReason {
        /** It may have run and is not idempotent. */
        NOT_REPEATABLE,
        /** It ran and its outcome is known. */
        ALREADY_RAN,
        /** It was tried often enough. */
        ATTEMPTS_USED,
        /** Another attempt would end past the deadline. */
        DEADLINE,
        /** No other endpoint can take it. */
        NO_ENDPOINT,
        /** The budget of retries is used up. */
        BUDGET
    }
}
