package baobabcroft.balance;

/** Whether an endpoint takes new work. */
public enum EndpointHealth {
    /** Takes work up to its capacity. */
    READY,
    /** Takes no new work because it is being stopped. */
    LEAVING,
    /** Takes no new work because its calls failed. */
    EJECTED,
    /** Takes one request at a time, to see whether it has recovered. */
    PROBING,
    /** Has recovered and takes a growing part of its capacity. */
    SLOW_START
}
