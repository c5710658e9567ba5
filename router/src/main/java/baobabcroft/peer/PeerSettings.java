package baobabcroft.peer;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of the connections between instances.
 *
 * @param connectTimeoutMillis how long opening a connection may take, in milliseconds
 * @param handshakeTimeoutMillis how long both sides' proofs may take, in milliseconds
 * @param writeTimeoutMillis how long one write may take, in milliseconds
 * @param idleTimeoutMillis after how long without a byte a connection is closed, in milliseconds
 * @param backoffMillis pause after the first failed connect, in milliseconds; doubles with each further one
 * @param maxBackoffMillis the longest pause, in milliseconds
 * @param maxFrameBytes the longest message
 * @param maxQueuedBytes how many bytes may wait on one connection before further requests are refused
 * @param maxOutstanding how many requests to one peer may be unanswered, and how many of one peer be in work
 * @param maxInboundConnections how many connections may be open towards this instance
 * @param threads event loop threads
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
    /** Checks the limits. */
    public PeerSettings {
        checkArgument(connectTimeoutMillis > 0, "connectTimeoutMillis must be positive, was %s", connectTimeoutMillis);
        checkArgument(backoffMillis > 0, "backoffMillis must be positive, was %s", backoffMillis);
        checkArgument(maxFrameBytes > 0, "maxFrameBytes must be positive, was %s", maxFrameBytes);
        checkArgument(maxOutstanding > 0, "maxOutstanding must be positive, was %s", maxOutstanding);
        checkArgument(threads > 0, "threads must be positive, was %s", threads);
    }

    /**
     * Returns the default limits.
     *
     * @return the limits
     */
    public static PeerSettings defaults() {
        return new PeerSettings(1_000, 2_000, 2_000, 60_000, 100, 5_000, 4 << 20, 2 << 20, 1_024, 2_048, 2);
    }
}
