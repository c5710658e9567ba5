package baobabcroft.claim;

/** How far the record of an outcome got. */
public enum SettleResult {
    /** The outcome, and with it the bill, is durable. */
    DURABLE,
    /** The store did not take it in time; it is being tried on as long as this instance lives. */
    PENDING,
    /** The claim is no longer this attempt's to settle; nothing was written. */
    SUPERSEDED
}
