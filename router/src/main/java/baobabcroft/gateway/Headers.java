package baobabcroft.gateway;

/** Names of the headers that callers, endpoints and the router exchange. */
public final class Headers {
    /** Names a request, so that it runs and is billed once however often it is sent. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Names the caller's session. */
    public static final String SESSION = "Baobabcroft-Session";

    /** Time within which the caller wants the whole answer, in milliseconds from the request's arrival. */
    public static final String DEADLINE_MILLIS = "Baobabcroft-Deadline-Millis";

    /** Identifies one attempt towards an endpoint; an endpoint that returns it must return the same. */
    public static final String REQUEST_ID = "Baobabcroft-Request-Id";

    /** Model that answered. */
    public static final String MODEL = "Baobabcroft-Model";

    /** Version that answered. */
    public static final String VERSION = "Baobabcroft-Version";

    /** Endpoint that answered. */
    public static final String ENDPOINT = "Baobabcroft-Endpoint";

    /** Number of the configuration under which the request ran. */
    public static final String CONFIG_VERSION = "Baobabcroft-Config-Version";

    /** Fencing number of an order: the configuration's number. */
    public static final String FENCING = "Baobabcroft-Fencing";

    /** Present with the value {@code true} on an answer that was recorded by an earlier run. */
    public static final String RECORDED = "Baobabcroft-Recorded";

    private Headers() {}
}
