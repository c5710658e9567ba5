package baobabcroft.relay;

/** Receives an endpoint's answer: status and headers, data and an end, or a failure at any point. */
public interface ExchangeListener {
    /**
     * Called once, right before the request is sent. May be called before the method that sends it has returned.
     *
     * @return false if the endpoint must not get the request any more; the transport then reports
     *     {@link SendFailure#ENDPOINT_UNAVAILABLE}
     */
    default boolean confirmSend() {
        return true;
    }

    /**
     * Called once, with the status and headers of the answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    void onHead(int status, Headers headers);

    /**
     * Called with the status and headers of an answer that belongs to another request and is skipped.
     *
     * @param status the HTTP status
     * @param headers the headers
     */
    default void onOtherHead(int status, Headers headers) {}

    /**
     * Called while an answer that belongs to another request is being skipped and its end has not been received. If it
     * breaks off, the awaited answer is skipped with it.
     */
    default void onFramingInDoubt() {}

    /**
     * Called with each received part of the body.
     *
     * @param data the bytes, whose boundaries have no meaning
     */
    void onData(byte[] data);

    /** Called after all data that could be read at once was passed on. */
    default void onReadComplete() {}

    /** Called when the answer is complete according to its framing. */
    void onEnd();

    /**
     * Called when the answer will not be completed.
     *
     * @param failure how the transport failed
     */
    void onFailure(SendFailure failure);
}
