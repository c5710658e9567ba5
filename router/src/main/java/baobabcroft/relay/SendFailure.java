package baobabcroft.relay;

/** How the transport of a request failed. */
public enum SendFailure {
    /** The endpoint refused the connection: nothing was sent. */
    CONNECTION_REFUSED(false),
    /** The endpoint did not accept the connection in time: nothing was sent. */
    CONNECT_TIMEOUT(false),
    /** The connection was closed or reset after the request was sent. */
    CONNECTION_LOST(true),
    /** The answer cannot be read as an answer. */
    ANSWER_MALFORMED(true),
    /** The answer is longer than the router takes. */
    ANSWER_TOO_LARGE(true);

    private final boolean sent;

    SendFailure(boolean sent) {
        this.sent = sent;
    }

    /**
     * Returns whether any byte of the request may have reached the endpoint.
     *
     * @return false if the request has provably not run
     */
    public boolean mayHaveRun() {
        return sent;
    }
}
