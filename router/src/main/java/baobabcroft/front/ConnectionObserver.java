package baobabcroft.front;

/** Notified of the connections to endpoints. */
public interface ConnectionObserver {
    /**
     * Called when a connection has been opened.
     *
     * @param failureDomain failure domain of the endpoint
     * @param connectMillis how long that took, in milliseconds
     */
    void onOpened(String failureDomain, double connectMillis);

    /** Called when a connection could not be opened, or was lost while a request was open on it. */
    void onFailed();

    /**
     * Called when an endpoint has sent bytes that are not the awaited response.
     *
     * @param bytes what was received, and on which connection
     */
    void onUnexpectedBytes(UnexpectedBytes bytes);
}
