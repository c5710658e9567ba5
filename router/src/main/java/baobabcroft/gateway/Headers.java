package baobabcroft.gateway;

/** Names of the HTTP headers exchanged with callers and endpoints. */
public final class Headers {
    /** Identifies a request, so that it runs and is billed once even if the caller sends it several times. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Name of the caller's session. */
    public static final String SESSION = "Baobabcroft-Session";

    /** Time within which the response must be complete, in milliseconds after the request arrives. */
    public static final String DEADLINE_MILLIS = "Baobabcroft-Deadline-Millis";

    /**
     * Identifies a request to an endpoint. An endpoint that includes the header in its response must echo the value.
     */
    public static final String REQUEST_ID = "Baobabcroft-Request-Id";

    /** Model that generated the response. */
    public static final String MODEL = "Baobabcroft-Model";

    /** Version that generated the response. */
    public static final String VERSION = "Baobabcroft-Version";

    /** Endpoint that sent the response. */
    public static final String ENDPOINT = "Baobabcroft-Endpoint";

    /** Number of the configuration under which the request ran. */
    public static final String CONFIG_VERSION = "Baobabcroft-Config-Version";

    /** Fencing token of a request to an endpoint: the number of the configuration under which it is sent. */
    public static final String FENCING = "Baobabcroft-Fencing";

    /** Delay in seconds; in a rejection by an endpoint, the time for which it wants no requests. */
    public static final String RETRY_AFTER = "Retry-After";

    /** Set to {@code true} on a response that was recorded when the request ran earlier. */
    public static final String RECORDED = "Baobabcroft-Recorded";

    private Headers() {}
}
