package baobabcroft.admin;

/**
 * State of a planned stop.
 *
 * @param openRequests requests that are still open
 * @param remainingMillis longest time until the process ends, in milliseconds
 */
public record DrainReport(long openRequests, long remainingMillis) {}
