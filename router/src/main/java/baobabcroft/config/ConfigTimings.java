package baobabcroft.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Timing of the configuration protocol. All instances must use the same values.
 *
 * @param freshnessMillis lifetime of authority from the time its evidence was requested, in milliseconds
 * @param heartbeatMillis interval between heartbeats, in milliseconds
 * @param readMillis interval between reads of the store, in milliseconds
 */
public record ConfigTimings(long freshnessMillis, long heartbeatMillis, long readMillis) {
    /** Rejects values that are not positive, and a lifetime no longer than the read interval. */
    public ConfigTimings {
        checkArgument(heartbeatMillis > 0, "heartbeatMillis must be positive, was %s", heartbeatMillis);
        checkArgument(readMillis > 0, "readMillis must be positive, was %s", readMillis);
        checkArgument(freshnessMillis > readMillis, "freshnessMillis must exceed readMillis, was %s", freshnessMillis);
    }

    /**
     * Returns the default timing.
     *
     * @return authority for 2 s, renewed every 500 ms
     */
    public static ConfigTimings defaults() {
        return new ConfigTimings(2_000, 500, 500);
    }

    long freshnessNanos() {
        return Duration.ofMillis(freshnessMillis).toNanos();
    }

    /**
     * Returns how long a change must have been confirmed: twice the lifetime of authority, to allow for clock drift.
     */
    long acceptanceNanos() {
        return 2 * freshnessNanos();
    }
}
