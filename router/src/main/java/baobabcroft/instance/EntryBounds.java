package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds that a deployment's contract gives.
 *
 * @param graceMillis time from SIGTERM to SIGKILL, in milliseconds
 * @param retryRatio repeated sends to a service for each request, over all instances
 * @param retrySlack repeated sends beyond that in a window, over all instances
 * @param exposureShare share of a service's requests that a bad version may get
 */
public record EntryBounds(long graceMillis, double retryRatio, double retrySlack, double exposureShare) {
    /** Checks the values. */
    public EntryBounds {
        checkArgument(graceMillis > 0, "graceMillis not positive: %s", graceMillis);
        checkArgument(retryRatio >= 0, "negative retryRatio: %s", retryRatio);
        checkArgument(retrySlack >= 0, "negative retrySlack: %s", retrySlack);
        checkArgument(exposureShare >= 0 && exposureShare <= 1, "exposureShare: %s", exposureShare);
    }
}
