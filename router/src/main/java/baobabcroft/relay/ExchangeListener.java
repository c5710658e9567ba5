package baobabcroft.relay;

/** Receives an endpoint's answer: a head, data and an end, or a failure at any point. */
public interface ExchangeListener {
    /**
     * The head has arrived.
     *
     * @param status the status
     * @param headers the headers
     */
    void onHead(int status, Headers headers);

    /**
     * A piece of the body has arrived.
     *
     * @param data the bytes
     */
    void onData(byte[] data);

    /** The answer is complete by its framing. */
    void onEnd();

    /**
     * The answer will not be complete.
     *
     * @param failure what was seen
     */
    void onFailure(SendFailure failure);
}
