package baobabcroft.billing;

/** How safe a bill is. */
public sealed interface BillResult {
    /** The bill is in the store. */
    record Durable() implements BillResult {}

    /**
     * The store is out; the bill is in the memory of several instances and will be written when the store is back.
     *
     * @param byInstances how many instances hold it, this one included
     */
    record Held(int byInstances) implements BillResult {}

    /**
     * The bill is in this instance's memory alone. It is still tried, but the end of the answer must not be released.
     *
     * @param retryAfterMillis when the store may be back, in milliseconds from now
     */
    record Refused(long retryAfterMillis) implements BillResult {}
}
