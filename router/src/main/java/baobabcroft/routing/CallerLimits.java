package baobabcroft.routing;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes longest request line and headers, in bytes
 * @param maxBodyBytes longest body, in bytes
 * @param headerTimeoutMillis longest time for the headers, in milliseconds
 * @param idleTimeoutMillis longest time that a connection stays open without a request, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits before the first configuration: the usual ones of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 10_000, 60_000);
}
