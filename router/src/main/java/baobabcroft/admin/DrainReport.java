package baobabcroft.admin;

/**
 * Progress of a planned stop.
 *
 * @param openRequests number of requests that are still open
 * @param remainingMillis longest wait for open requests, in milliseconds
 */
public record DrainReport(long openRequests, long remainingMillis) {}
