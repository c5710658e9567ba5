package baobabcroft.standin.http;

/** Names of the HTTP headers exchanged between the router and its endpoints. */
public final class EndpointHeaders {
    /** Request identifier; the endpoint echoes it in its response. */
    public static final String REQUEST_ID = "Baobabcroft-Request-Id";
    /** Version that produced the response. */
    public static final String SERVED_VERSION = "Baobabcroft-Served-Version";
    /** Fencing token; an endpoint that checks it rejects a request whose token is lower than one it has seen. */
    public static final String FENCING = "Baobabcroft-Fencing";
    /** Idempotency key, by which a service recognises a repeated call. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private EndpointHeaders() {}
}
