package baobabcroft.billing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of billing.
 *
 * @param windowMillis least time from the start of one commit of the journal to the next, in milliseconds
 * @param segmentBytes size from which the journal goes on in a new segment
 * @param holdAfterMillis how long a bill may wait for the store before another instance is asked to hold it
 * @param refuseAfterMillis how long a bill may be neither stored nor held before this is reported
 * @param backoffMinMillis first delay after a failed call, in milliseconds
 * @param backoffMaxMillis longest delay after failed calls, in milliseconds
 * @param maxWaiting how many bills may wait for the store in this instance, its own and others'
 * @param writeHeldAfterMillis how often it is checked whether bills held for others can be written, in milliseconds
 */
public record BillingSettings(
        long windowMillis,
        int segmentBytes,
        long holdAfterMillis,
        long refuseAfterMillis,
        long backoffMinMillis,
        long backoffMaxMillis,
        int maxWaiting,
        long writeHeldAfterMillis) {
    /** Checks the values. */
    public BillingSettings {
        checkArgument(windowMillis >= 0, "windowMillis must not be negative, was %s", windowMillis);
        checkArgument(
                segmentBytes > 0 && segmentBytes <= 1 << 19,
                "segmentBytes must be from 1 to 524288, was %s",
                segmentBytes);
        checkArgument(holdAfterMillis >= 0, "holdAfterMillis must not be negative, was %s", holdAfterMillis);
        checkArgument(refuseAfterMillis >= holdAfterMillis, "refuseAfterMillis is too small: %s", refuseAfterMillis);
        checkArgument(backoffMinMillis > 0, "backoffMinMillis must be positive, was %s", backoffMinMillis);
        checkArgument(backoffMaxMillis >= backoffMinMillis, "backoffMaxMillis is too small: %s", backoffMaxMillis);
        checkArgument(maxWaiting > 0, "maxWaiting must be positive, was %s", maxWaiting);
        checkArgument(writeHeldAfterMillis > 0, "writeHeldAfterMillis must be positive, was %s", writeHeldAfterMillis);
    }

    /**
     * Returns the settings for a fleet of today's size.
     *
     * @return the defaults
     */
    public static BillingSettings defaults() {
        return new BillingSettings(50, 64 * 1024, 250, 2_000, 10, 1_000, 20_000, 5_000);
    }
}
