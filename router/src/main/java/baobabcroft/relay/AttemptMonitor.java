package baobabcroft.relay;

/** Observes one attempt at an endpoint. */
public interface AttemptMonitor {
    /** Called with the first output of a stream. */
    void firstOutputReceived();

    /**
     * Called once, when the attempt has ended.
     *
     * @param result how it ended
     */
    void ended(AttemptResult result);
}
