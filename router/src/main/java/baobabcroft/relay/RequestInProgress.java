package baobabcroft.relay;

/** A request that is being served, as seen by the connection of its caller. */
public interface RequestInProgress {
    /**
     * Returns whether the request has ended.
     *
     * @return true once the final answer was sent, the stream was cut off or the caller left
     */
    boolean isDone();

    /** Cancels the request because the caller has closed its connection. Has no effect after the end. */
    void onCallerDisconnected();
}
