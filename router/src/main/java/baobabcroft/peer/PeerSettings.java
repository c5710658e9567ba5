package baobabcroft.peer;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timeouts and limits of the connections between instances.
 *
 * @param connectTimeoutMillis timeout of the TCP connect, in milliseconds
 * @param handshakeTimeoutMillis timeout of the mutual authentication, in milliseconds
 * @param writeTimeoutMillis timeout of a single write, in milliseconds
 * @param idleTimeoutMillis time without traffic after which a connection is closed, in milliseconds
 * @param backoffMillis backoff after the first failed connect, in milliseconds; doubles with each further failure
 * @param maxBackoffMillis maximum backoff, in milliseconds
 * @param maxFrameBytes maximum length of a message, in bytes
 * @param maxQueuedBytes number of bytes queued on one connection above which further requests fail
 * @param maxOutstanding maximum number of requests in flight to one peer, and in progress on one inbound connection
 * @param maxInboundConnections maximum number of open inbound connections
 * @param threads number of event loop threads
 */
public record PeerSettings(
        int connectTimeoutMillis,
        long handshakeTimeoutMillis,
        long writeTimeoutMillis,
        long idleTimeoutMillis,
        long backoffMillis,
        long maxBackoffMillis,
        int maxFrameBytes,
        int maxQueuedBytes,
        int maxOutstanding,
        int maxInboundConnections,
        int threads) {
    /** Checks that the main limits are positive. */
    public PeerSettings {
        checkArgument(connectTimeoutMillis > 0, "connectTimeoutMillis must be positive, was %s", connectTimeoutMillis);
        checkArgument(backoffMillis > 0, "backoffMillis must be positive, was %s", backoffMillis);
        checkArgument(maxFrameBytes > 0, "maxFrameBytes must be positive, was %s", maxFrameBytes);
        checkArgument(maxOutstanding > 0, "maxOutstanding must be positive, was %s", maxOutstanding);
        checkArgument(threads > 0, "threads must be positive, was %s", threads);
    }

    /**
     * Returns the default timeouts and limits.
     *
     * @return the defaults
     */
    public static PeerSettings defaults() {
        return new PeerSettings(1_000, 2_000, 2_000, 60_000, 100, 5_000, 4 << 20, 2 << 20, 1_024, 2_048, 2);
    }
}
