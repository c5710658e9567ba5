package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When an endpoint is ejected, and how it comes back.
 *
 * @param consecutiveFailures failures in a row that eject it
 * @param failureShare share of failed calls that ejects it, once enough calls were seen
 * @param minCalls calls, by their decayed count, from which the share counts
 * @param halfLifeMillis time in which a call's weight halves, in milliseconds
 * @param ejectionMillis length of the first ejection, in milliseconds; each further one is twice as long
 * @param maxEjectionMillis longest ejection, in milliseconds
 * @param slowStartMillis time from recovery to full capacity, in milliseconds
 */
public record BreakerSettings(
        int consecutiveFailures,
        double failureShare,
        double minCalls,
        long halfLifeMillis,
        long ejectionMillis,
        long maxEjectionMillis,
        long slowStartMillis) {
    /** Checks the values. */
    public BreakerSettings {
        checkArgument(consecutiveFailures > 0, "consecutiveFailures not positive: %s", consecutiveFailures);
        checkArgument(failureShare > 0 && failureShare <= 1, "failureShare not in (0, 1]: %s", failureShare);
        checkArgument(minCalls > 0, "minCalls not positive: %s", minCalls);
        checkArgument(halfLifeMillis > 0, "halfLifeMillis not positive: %s", halfLifeMillis);
        checkArgument(ejectionMillis > 0, "ejectionMillis not positive: %s", ejectionMillis);
        checkArgument(maxEjectionMillis >= ejectionMillis, "maxEjectionMillis too short: %s", maxEjectionMillis);
        checkArgument(slowStartMillis > 0, "slowStartMillis not positive: %s", slowStartMillis);
    }

    /**
     * Returns the settings used when operators give none.
     *
     * @return the defaults
     */
    public static BreakerSettings defaults() {
        return new BreakerSettings(3, 0.5, 10, 10_000, 1_000, 60_000, 10_000);
    }
}
