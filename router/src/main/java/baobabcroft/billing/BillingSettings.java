package baobabcroft.billing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of billing.
 *
 * @param commitIntervalMillis minimum interval between the starts of two journal commits, in milliseconds
 * @param segmentBytes size at which the journal starts a new segment, in bytes; at most 524288
 * @param holdAfterMillis time after which another instance is asked to hold a bill that is not stored yet, in
 *     milliseconds; also the interval between such requests
 * @param refuseAfterMillis time after which a bill that is neither stored nor held is reported as
 *     {@link BillResult.Refused}, in milliseconds
 * @param backoffMinMillis minimum backoff after a failed store call, in milliseconds
 * @param backoffMaxMillis maximum backoff after failed store calls, in milliseconds
 * @param maxPendingBills maximum number of bills that are not stored yet, of this instance and held for others
 * @param heldBillsCheckIntervalMillis interval of the check whether bills held for others can be written, in
 *     milliseconds
 */
public record BillingSettings(
        long commitIntervalMillis,
        int segmentBytes,
        long holdAfterMillis,
        long refuseAfterMillis,
        long backoffMinMillis,
        long backoffMaxMillis,
        int maxPendingBills,
        long heldBillsCheckIntervalMillis) {
    /** Checks the values. */
    public BillingSettings {
        checkArgument(
                commitIntervalMillis >= 0, "commitIntervalMillis must not be negative, was %s", commitIntervalMillis);
        checkArgument(
                segmentBytes > 0 && segmentBytes <= 1 << 19,
                "segmentBytes must be from 1 to 524288, was %s",
                segmentBytes);
        checkArgument(holdAfterMillis >= 0, "holdAfterMillis must not be negative, was %s", holdAfterMillis);
        checkArgument(
                refuseAfterMillis >= holdAfterMillis,
                "refuseAfterMillis must be at least holdAfterMillis, was %s",
                refuseAfterMillis);
        checkArgument(backoffMinMillis > 0, "backoffMinMillis must be positive, was %s", backoffMinMillis);
        checkArgument(
                backoffMaxMillis >= backoffMinMillis,
                "backoffMaxMillis must be at least backoffMinMillis, was %s",
                backoffMaxMillis);
        checkArgument(maxPendingBills > 0, "maxPendingBills must be positive, was %s", maxPendingBills);
        checkArgument(
                heldBillsCheckIntervalMillis > 0,
                "heldBillsCheckIntervalMillis must be positive, was %s",
                heldBillsCheckIntervalMillis);
    }

    /**
     * Returns the default settings, sized for the current number of instances.
     *
     * @return the default settings
     */
    public static BillingSettings defaults() {
        return new BillingSettings(50, 64 * 1024, 250, 2_000, 10, 1_000, 20_000, 5_000);
    }
}
