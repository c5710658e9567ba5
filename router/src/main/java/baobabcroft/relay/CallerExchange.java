package baobabcroft.relay;

/** The caller's side of one request: exactly one whole answer, or one stream. */
public interface CallerExchange {
    /**
     * Sends a whole answer.
     *
     * @param status its status
     * @param headers its headers, without those on framing
     * @param body its body
     */
    void answer(int status, Headers headers, byte[] body);

    /**
     * Sends the head of a stream.
     *
     * @param status its status
     * @param headers its headers, without those on framing
     */
    void startStream(int status, Headers headers);

    /**
     * Sends a piece of the stream.
     *
     * @param data whole events
     */
    void streamData(byte[] data);

    /** Ends the stream as complete. */
    void endStream();

    /** Closes the connection so that the answer cannot look complete. */
    void abort();
}
