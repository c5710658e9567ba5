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
 * @param warmUpExcess factor by which the requests of a cold endpoint may exceed the rate that its service states
 * @param warmUpSlack requests in a second that a cold endpoint may get beyond that
 */
public record DeploymentBounds(
        long graceMillis,
        long contactMillis,
        double retryRatio,
        double retrySlack,
        double exposureShare,
        double warmUpExcess,
        double warmUpSlack) {
    /** Value of {@code warmUpExcess} where a deployment states none. */
    public static final double DEFAULT_WARM_UP_EXCESS = 1.5;
    /** Value of {@code warmUpSlack} where a deployment states none. */
    public static final double DEFAULT_WARM_UP_SLACK = 5;

    /** Checks the ranges of the values. */
    public DeploymentBounds {
        checkArgument(contactMillis > 0, "contactMillis not positive: %s", contactMillis);
        checkArgument(graceMillis > 0, "graceMillis not positive: %s", graceMillis);
        checkArgument(retryRatio >= 0, "negative retryRatio: %s", retryRatio);
        checkArgument(retrySlack >= 0, "negative retrySlack: %s", retrySlack);
        checkArgument(exposureShare >= 0 && exposureShare <= 1, "exposureShare not between 0 and 1: %s", exposureShare);
        checkArgument(warmUpExcess > 0, "warmUpExcess not positive: %s", warmUpExcess);
        checkArgument(warmUpSlack >= 0, "negative warmUpSlack: %s", warmUpSlack);
    }

    /**
     * Returns how many requests a cold endpoint may get in any second, over all instances together.
     *
     * @param statedPerSecond the rate that its service states, in requests a second
     * @return the bound
     */
    public double warmUpRequests(double statedPerSecond) {
        return statedPerSecond * warmUpExcess + warmUpSlack;
    }
}
