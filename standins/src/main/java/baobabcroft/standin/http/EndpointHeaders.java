package baobabcroft.standin.http;

/** Headers that the router and its endpoints exchange. */
public final class EndpointHeaders {
    /** Identifier of the request; the endpoint echoes it. */
    public static final String REQUEST_ID = "Baobabcroft-Request-Id";
    /** The version that made the answer. */
    public static final String SERVED_VERSION = "Baobabcroft-Served-Version";
    /** Number by which an endpoint tells an old order from a new one. */
    public static final String FENCING = "Baobabcroft-Fencing";
    /** Key by which a service tells a repeated call from a new one. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private EndpointHeaders() {}
}
