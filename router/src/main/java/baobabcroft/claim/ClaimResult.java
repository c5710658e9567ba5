package baobabcroft.claim;

/** Result of claiming a request. */
public sealed interface ClaimResult {
    /**
     * The claim is durable; the holder of the ticket may send the request once.
     *
     * @param ticket the permission to send
     */
    record Granted(ClaimTicket ticket) implements ClaimResult {}

    /**
     * The request has already run, and its answer is stored.
     *
     * @param answer the stored answer of the earlier run
     */
    record Recorded(RecordedAnswer answer) implements ClaimResult {}

    /**
     * The request has already run, and its answer exceeded {@link ClaimSettings#maxAnswerBytes}, so it is not stored.
     */
    record AnswerNotKept() implements ClaimResult {}

    /**
     * The request is claimed by another attempt and has no outcome yet.
     *
     * @param claimingInstance name of the instance that claimed it
     * @param deadlineEpochMillis deadline of the claim, after which its outcome counts as unknown, in milliseconds
     *     since the epoch
     */
    record Running(String claimingInstance, long deadlineEpochMillis) implements ClaimResult {}

    /** The request may have run, and its outcome cannot be determined. */
    record OutcomeUnknown() implements ClaimResult {}

    /** The idempotency key was used before with a different request; this request was not run. */
    record KeyReused() implements ClaimResult {}

    /**
     * The claim could not be stored or read. This request was not run and will not be run; an earlier request with the
     * same key may have run.
     *
     * @param retryAfterMillis delay before the caller should retry, in milliseconds
     */
    record Unavailable(long retryAfterMillis) implements ClaimResult {}
}
