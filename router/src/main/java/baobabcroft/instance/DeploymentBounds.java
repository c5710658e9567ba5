package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds that the contract of a deployment sets.
 *
 * @param graceMillis time from SIGTERM to SIGKILL, in milliseconds
 * @param contactMillis time without a sign of life after which a part of the deployment counts as gone, in milliseconds
 * @param retryRatio allowed repeated sends to a service per request, over all instances
 * @param retrySlack repeated sends allowed beyond the ratio in one window, over all instances
 * @param exposureShare largest share of a service's requests, from 0 to 1, that a faulty version may receive
 */
public record DeploymentBounds(
        long graceMillis, long contactMillis, double retryRatio, double retrySlack, double exposureShare) {
    /** Checks the ranges of the values. */
    public DeploymentBounds {
        checkArgument(contactMillis > 0, "contactMillis not positive: %s", contactMillis);
        checkArgument(graceMillis > 0, "graceMillis not positive: %s", graceMillis);
        checkArgument(retryRatio >= 0, "negative retryRatio: %s", retryRatio);
        checkArgument(retrySlack >= 0, "negative retrySlack: %s", retrySlack);
        checkArgument(exposureShare >= 0 && exposureShare <= 1, "exposureShare not between 0 and 1: %s", exposureShare);
    }
}
