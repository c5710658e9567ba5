package baobabcroft.balance;

/** Kind of failure of a call to an endpoint. */
public enum FailureKind {
    /** The connection was refused or timed out before any byte was sent. */
    CONNECT(true),
    /** The connection was lost after the request may have reached the endpoint. */
    CONNECTION_LOST(true),
    /** No answer arrived in time. */
    TIMEOUT(true),
    /** The endpoint answered with a server error. */
    SERVER_ERROR(true),
    /** The answer was malformed, incomplete or belonged to another request. */
    INVALID_ANSWER(true),
    /** The endpoint rejected the request because it is at capacity. */
    BUSY(false);

    private final boolean countsAgainstHealth;

    FailureKind(boolean countsAgainstHealth) {
        this.countsAgainstHealth = countsAgainstHealth;
    }

    /**
     * Returns whether the failure counts against the endpoint's health.
     *
     * @return false for failures that only indicate high load
     */
    public boolean countsAgainstHealth() {
        return countsAgainstHealth;
    }
}
