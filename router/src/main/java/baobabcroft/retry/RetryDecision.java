package baobabcroft.retry;

/** Whether a failed request is retried. */
public sealed interface RetryDecision {
    /**
     * The request is retried.
     *
     * @param delayMillis delay before the retry, in milliseconds
     */
    record Retry(long delayMillis) implements RetryDecision {}

    /**
     * The request is not retried.
     *
     * @param reason why the request is not retried
     */
    record Stop(StopReason reason) implements RetryDecision {}

    /** Why a request is not retried. A counter exists for each reason. */
    enum StopReason {
        /** The request may have run and is not idempotent. */
        NOT_REPEATABLE,
        /** The request ran and its outcome is known. */
        ALREADY_RAN,
        /** The maximum number of attempts is reached. */
        ATTEMPTS_USED,
        /** Another attempt would end after the deadline. */
        DEADLINE,
        /** No other endpoint can take the request. */
        NO_ENDPOINT,
        /** The retry budget is exhausted. */
        BUDGET,
        /** The request, or others with the same prompt part, crashed several endpoints. */
        POISON
    }
}
