package baobabcroft.claim;

/** State of the write that records an outcome. */
public enum SettleResult {
    /** The outcome, and with it the bill, is stored. */
    DURABLE,
    /** The outcome was not stored within the timeout; the write is retried for as long as this instance runs. */
    PENDING,
    /**
     * The claim does not belong to this attempt, or already has another outcome that is final; nothing was written.
     */
    SUPERSEDED
}
