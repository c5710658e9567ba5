package baobabcroft.session;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link SessionService}. All instances must use the same.
 *
 * @param limitMillis longest time to wait for the store, in milliseconds
 * @param expiryMillis how long after its last use a session is forgotten, in milliseconds
 * @param refreshMillis least time between two records of a session's use, in milliseconds
 * @param maxCached how many sessions' versions are kept in memory
 */
public record SessionSettings(long limitMillis, long expiryMillis, long refreshMillis, long maxCached) {
    private static final long HOUR_MILLIS = 3_600_000;

    /** Checks the values. */
    public SessionSettings {
        checkArgument(limitMillis > 0, "limitMillis must be positive, was %s", limitMillis);
        checkArgument(refreshMillis > 0, "refreshMillis must be positive, was %s", refreshMillis);
        checkArgument(expiryMillis >= 2 * refreshMillis, "expiryMillis is too small: %s", expiryMillis);
        checkArgument(maxCached > 0, "maxCached must be positive, was %s", maxCached);
    }

    /**
     * Returns the settings for a fleet of today's size.
     *
     * @return the defaults
     */
    public static SessionSettings defaults() {
        return new SessionSettings(1_000, 24 * HOUR_MILLIS, HOUR_MILLIS, 100_000);
    }
}
