package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings for outlier ejection of endpoints and for the slow start that follows.
 *
 * @param consecutiveFailures number of consecutive failures that eject an endpoint
 * @param failureShare share of failed calls, in (0, 1], that ejects an endpoint with at least {@code minCalls} calls
 * @param minCalls minimum number of calls, weighted by age, for {@code failureShare} to apply
 * @param halfLifeMillis time in which the weight of a call halves, in milliseconds
 * @param ejectionMillis length of the first ejection before jitter, in milliseconds; doubles with each further ejection
 * @param maxEjectionMillis maximum length of an ejection, in milliseconds
 * @param slowStartMillis time from the first successful probe to full capacity, in milliseconds
 * @param maxPauseMillis longest time for which an endpoint may ask for no requests, in milliseconds
 */
public record BreakerSettings(
        int consecutiveFailures,
        double failureShare,
        double minCalls,
        long halfLifeMillis,
        long ejectionMillis,
        long maxEjectionMillis,
        long slowStartMillis,
        long maxPauseMillis) {
    /** Validates the values. */
    public BreakerSettings {
        checkArgument(consecutiveFailures > 0, "consecutiveFailures not positive: %s", consecutiveFailures);
        checkArgument(failureShare > 0 && failureShare <= 1, "failureShare not in (0, 1]: %s", failureShare);
        checkArgument(minCalls > 0, "minCalls not positive: %s", minCalls);
        checkArgument(halfLifeMillis > 0, "halfLifeMillis not positive: %s", halfLifeMillis);
        checkArgument(ejectionMillis > 0, "ejectionMillis not positive: %s", ejectionMillis);
        checkArgument(
                maxEjectionMillis >= ejectionMillis,
                "maxEjectionMillis less than ejectionMillis: %s",
                maxEjectionMillis);
        checkArgument(slowStartMillis > 0, "slowStartMillis not positive: %s", slowStartMillis);
        checkArgument(maxPauseMillis >= 0, "negative maxPauseMillis: %s", maxPauseMillis);
    }

    /**
     * Returns the default settings.
     *
     * @return the settings used when operators configure none
     */
    public static BreakerSettings defaults() {
        return new BreakerSettings(3, 0.5, 10, 10_000, 1_000, 60_000, 10_000, 60_000);
    }

    /**
     * Returns these settings with another limit on pauses.
     *
     * @param millis longest time for which an endpoint may ask for no requests, in milliseconds
     * @return the settings
     */
    public BreakerSettings withMaxPauseMillis(long millis) {
        return new BreakerSettings(
                consecutiveFailures,
                failureShare,
                minCalls,
                halfLifeMillis,
                ejectionMillis,
                maxEjectionMillis,
                slowStartMillis,
                millis);
    }
}
