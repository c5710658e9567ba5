package baobabcroft.front;

/** Notified of the connections to endpoints. */
public interface ConnectionObserver {
    /** Called when a connection has been opened. */
    void onOpened();

    /** Called when a connection could not be opened, or was lost while a request was open on it. */
    void onFailed();
}
