package baobabcroft.relay;

/** How the transport of a request to an endpoint failed. */
public enum SendFailure {
    /** The endpoint refused the connection: nothing was sent. */
    CONNECTION_REFUSED(false),
    /** The endpoint has stated, while its connection was being opened, that it wants no requests: nothing was sent. */
    ENDPOINT_UNAVAILABLE(false),
    /** The endpoint did not accept the connection within the timeout: nothing was sent. */
    CONNECT_TIMEOUT(false),
    /** The connection was closed or reset after the request was sent. */
    CONNECTION_LOST(true),
    /** The answer violates the protocol. */
    ANSWER_MALFORMED(true),
    /** The answer's status promises that the request has not run, and nothing proves it. */
    REJECTION_UNPROVEN(true),
    /** The answer exceeds the router's limit on its length. */
    ANSWER_TOO_LARGE(true);

    private final boolean mayHaveRun;

    SendFailure(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether any byte of the request may have reached the endpoint.
     *
     * @return false if the request has certainly not run
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
