package baobabcroft.external;

/** Outcome of granting, renewing or revoking a lease. */
public sealed interface LeaseResult {
    /**
     * The lease was granted or renewed.
     *
     * @param leaseId the lease's identifier
     * @param ttlMillis time to live, counted from when the request was sent, in milliseconds
     */
    record Held(long leaseId, long ttlMillis) implements LeaseResult {}

    /** The lease has expired or was revoked. */
    record NotFound() implements LeaseResult {}

    /**
     * The call failed; whether it took effect is unknown.
     *
     * @param reason description of the failure, for logs
     */
    record Unavailable(String reason) implements LeaseResult {}
}
