package baobabcroft.limit;

/** Decision whether the limits of an account allow a request. */
public sealed interface LimitDecision {
    /**
     * The request is within the limits.
     *
     * @param reservation must be released when the request ends
     */
    record Admitted(LimitReservation reservation) implements LimitDecision {}

    /**
     * The request exceeds a limit and is refused.
     *
     * @param kind the exceeded limit
     * @param retryAfterMillis delay after which the caller should retry, in milliseconds
     */
    record Limited(LimitKind kind, long retryAfterMillis) implements LimitDecision {}

    /** The limits of an account. Refusals by each are counted in a metric that carries its name. */
    enum LimitKind {
        /** Requests each second. */
        REQUESTS,
        /** Generated tokens each minute. */
        TOKENS,
        /** Concurrent requests. */
        CONCURRENT
    }
}
