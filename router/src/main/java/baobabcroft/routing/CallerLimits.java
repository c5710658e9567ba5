package baobabcroft.routing;

/**
 * Limits of size and time for requests of callers.
 *
 * @param maxHeaderBytes most bytes of request line and headers together
 * @param maxBodyBytes most bytes of a request body
 * @param headerTimeoutMillis time within which the headers must arrive, in milliseconds
 * @param idleTimeoutMillis time after which a connection without a request is closed, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until the first configuration is read: common defaults of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 10_000, 60_000);
}
