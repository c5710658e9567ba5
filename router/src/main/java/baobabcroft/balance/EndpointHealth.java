package baobabcroft.balance;

/** Whether, and to what extent, an endpoint takes new requests. */
public enum EndpointHealth {
    /** Takes requests up to its configured capacity. */
    READY,
    /** Takes no new requests because it is shutting down. */
    LEAVING,
    /** Takes no new requests because too many calls failed. */
    EJECTED,
    /** Takes one request at a time, to test whether it has recovered. */
    PROBING,
    /** Has recovered and takes a growing share of its configured capacity. */
    SLOW_START
}
