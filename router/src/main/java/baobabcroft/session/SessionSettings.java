package baobabcroft.session;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link SessionService}. All instances must use the same values.
 *
 * @param timeoutMillis timeout of a lookup in the store, in milliseconds
 * @param expiryMillis time after its last use at which a session expires, in milliseconds; at least twice the refresh
 *     interval
 * @param refreshMillis refresh interval: shortest time between two records of a session's use, in milliseconds
 * @param maxCached limit on the number of pins cached in memory
 */
public record SessionSettings(long timeoutMillis, long expiryMillis, long refreshMillis, long maxCached) {
    private static final long HOUR_MILLIS = 3_600_000;

    /** Rejects values that are not positive and an expiry time shorter than two refresh intervals. */
    public SessionSettings {
        checkArgument(timeoutMillis > 0, "timeoutMillis must be positive, was %s", timeoutMillis);
        checkArgument(refreshMillis > 0, "refreshMillis must be positive, was %s", refreshMillis);
        checkArgument(
                expiryMillis >= 2 * refreshMillis,
                "expiryMillis must be at least twice refreshMillis, was %s",
                expiryMillis);
        checkArgument(maxCached > 0, "maxCached must be positive, was %s", maxCached);
    }

    /**
     * Returns the default settings, for a fleet of the current size.
     *
     * @return the defaults
     */
    public static SessionSettings defaults() {
        return new SessionSettings(1_000, 24 * HOUR_MILLIS, HOUR_MILLIS, 100_000);
    }
}
