package baobabcroft.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Times of the configuration protocol. All instances must use the same ones.
 *
 * @param freshnessMillis how long authority lasts from when the question was sent, in milliseconds
 * @param heartbeatMillis how often peers are asked, in milliseconds
 * @param readMillis how often the store is read, in milliseconds
 */
public record ConfigTimings(long freshnessMillis, long heartbeatMillis, long readMillis) {
    /** Checks the times. */
    public ConfigTimings {
        checkArgument(heartbeatMillis > 0, "heartbeatMillis must be positive, was %s", heartbeatMillis);
        checkArgument(readMillis > 0, "readMillis must be positive, was %s", readMillis);
        checkArgument(freshnessMillis > readMillis, "freshnessMillis must exceed readMillis, was %s", freshnessMillis);
    }

    /**
     * Returns the default times.
     *
     * @return authority for two seconds, renewed four times in that
     */
    public static ConfigTimings defaults() {
        return new ConfigTimings(2_000, 500, 500);
    }

    long freshnessNanos() {
        return Duration.ofMillis(freshnessMillis).toNanos();
    }

    /** How long a change must have been confirmed: twice the freshness, so that clocks may run unevenly. */
    long acceptanceNanos() {
        return 2 * freshnessNanos();
    }
}
