package baobabcroft.limit;

/** Whether an account's limits let a request through. */
public sealed interface LimitDecision {
    /**
     * The request may go on.
     *
     * @param reservation to be told when it has ended
     */
    record Admitted(LimitReservation reservation) implements LimitDecision {}

    /**
     * The request is refused.
     *
     * @param kind the limit that it met
     * @param retryAfterMillis when to come back, in milliseconds from now
     */
    record Limited(LimitKind kind, long retryAfterMillis) implements LimitDecision {}

    /** The limits of an account; each is a counter. */
    enum LimitKind {
        /** Requests a second. */
        REQUESTS,
        /** Generated tokens a minute. */
        TOKENS,
        /** Requests at once. */
        CONCURRENT
    }
}
