package baobabcroft.balance;

/** How a call to an endpoint failed. */
public enum FailureKind {
    /** The connection was refused or timed out before a byte was sent. */
    CONNECT(true),
    /** The connection was lost after the request may have reached the endpoint. */
    CONNECTION_LOST(true),
    /** No answer came in time. */
    TIMEOUT(true),
    /** The endpoint answered with an error of its own. */
    SERVER_ERROR(true),
    /** The answer was malformed, incomplete or another request's. */
    INVALID_ANSWER(true),
    /** The endpoint said that it is full. */
    BUSY(false);

    private final boolean unhealthy;

    FailureKind(boolean unhealthy) {
        this.unhealthy = unhealthy;
    }

    /**
     * Returns whether the failure counts against the endpoint's health.
     *
     * @return false for failures that only tell of load
     */
    public boolean isUnhealthy() {
        return unhealthy;
    }
}
