package baobabcroft.claim;

/** Outcome of claiming a request. */
public sealed interface ClaimResult {
    /**
     * The claim is durable: the request may be sent, once, by the holder of the ticket.
     *
     * @param ticket the right to send
     */
    record Granted(ClaimTicket ticket) implements ClaimResult {}

    /**
     * The request ran before, and this is its answer.
     *
     * @param answer the answer
     */
    record Recorded(RecordedAnswer answer) implements ClaimResult {}

    /** The request ran before, and its answer was too large to keep. */
    record AnswerNotKept() implements ClaimResult {}

    /**
     * The request was claimed before and is not settled yet.
     *
     * @param claimingInstance instance that claimed it
     * @param deadlineEpochMillis when it is given up, in milliseconds since the epoch
     */
    record Running(String claimingInstance, long deadlineEpochMillis) implements ClaimResult {}

    /** The request may have run, and its outcome will not be known. */
    record OutcomeUnknown() implements ClaimResult {}

    /** The idempotency key was used with another request; this one was not run. */
    record KeyReused() implements ClaimResult {}

    /**
     * The claim could not be stored. This request was not run and will not be; whether an earlier one with the same key
     * ran is not known.
     *
     * @param retryAfterMillis when to try again, in milliseconds from now
     */
    record Unavailable(long retryAfterMillis) implements ClaimResult {}
}
