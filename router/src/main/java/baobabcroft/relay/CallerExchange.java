package baobabcroft.relay;

/** Sends the answer to one request to its caller: exactly one complete answer, or one stream. */
public interface CallerExchange {
    /**
     * Sends a complete answer.
     *
     * @param status the HTTP status
     * @param headers the headers, without those on framing
     * @param body the body; empty if there is none
     */
    void answer(int status, Headers headers, byte[] body);

    /**
     * Sends the status and headers of a stream.
     *
     * @param status the HTTP status
     * @param headers the headers, without those on framing
     */
    void startStream(int status, Headers headers);

    /**
     * Sends a part of the stream.
     *
     * @param data one or more complete events
     */
    void streamData(byte[] data);

    /** Ends the stream as complete. */
    void endStream();

    /** Closes the connection in a way that the caller cannot mistake for a complete answer. */
    void abort();
}
