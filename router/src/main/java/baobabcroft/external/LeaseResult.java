package baobabcroft.external;

/** Outcome of granting or renewing a lease. */
public sealed interface LeaseResult {
    /**
     * The lease is held.
     *
     * @param leaseId the lease's identifier
     * @param ttlMillis how long it lasts from the moment the request was sent, in milliseconds
     */
    record Held(long leaseId, long ttlMillis) implements LeaseResult {}

    /** The lease does not exist any more. */
    record NotFound() implements LeaseResult {}

    /**
     * The store did not answer; the lease may or may not have been renewed.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements LeaseResult {}
}
