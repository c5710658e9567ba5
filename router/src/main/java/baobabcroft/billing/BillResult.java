package baobabcroft.billing;

/** Result of recording a bill: where copies of it exist. */
public sealed interface BillResult {
    /** The bill is stored. */
    record Durable() implements BillResult {}

    /**
     * The store is unavailable; several instances hold the bill in memory and write it when the store is available
     * again.
     *
     * @param instanceCount number of instances that hold the bill, including this one
     */
    record Held(int instanceCount) implements BillResult {}

    /**
     * Only this instance holds the bill, in memory. The write is still retried, but the end of the answer must not be
     * sent to the caller.
     *
     * @param retryAfterMillis delay after which the store may be available again, in milliseconds
     */
    record Refused(long retryAfterMillis) implements BillResult {}
}
