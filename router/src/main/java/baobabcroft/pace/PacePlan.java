package baobabcroft.pace;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How the instances divide the pace of one endpoint: some of them hold a share, and each holder leaves a minimum time
 * between its requests.
 *
 * <p>A holder sends at most a whole number of requests in any window. With a token bucket the sum of the holders' rates
 * and of their buckets would count, which leaves no room for holders that the others do not know of. The window is
 * longer than the second of the bound, as requests may arrive closer together than they were sent.
 *
 * @param holders number of instances that hold a share
 * @param spacingMillis minimum time between two requests of one holder, in milliseconds
 * @param perWindow requests that one holder sends in a window at most
 */
record PacePlan(int holders, long spacingMillis, int perWindow) {
    /** The second of the bound, and a tenth more for differences of the delay on the way to the endpoint. */
    static final long WINDOW_MILLIS = 1_100;

    /** Holders beyond the planned ones for which the bound holds, unless the rate would be less than half used. */
    private static final int EXTRA_HOLDERS = 2;
    /** Share of the bound that one holder uses at most: an instance may wrongly believe that it is alone. */
    private static final double MAX_HOLDER_SHARE = 0.25;

    /** Gain of the rate from which a holder sends more in a window; rounding to milliseconds must not decide. */
    private static final double MIN_GAIN = 1.05;

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the plan for an endpoint.
     *
     * @param ratePerSecond requests a second that the endpoint should get; positive
     * @param boundPerSecond requests that it must not exceed in any second; positive
     * @param instances number of known instances, including this one
     */
    static PacePlan of(double ratePerSecond, double boundPerSecond, int instances) {
        checkArgument(ratePerSecond > 0, "ratePerSecond not positive: %s", ratePerSecond);
        checkArgument(boundPerSecond > 0, "boundPerSecond not positive: %s", boundPerSecond);
        checkArgument(instances > 0, "instances not positive: %s", instances);
        int total = (int) Math.floor(boundPerSecond);
        if (total < 1) {
            return new PacePlan(1, (long) Math.ceil(WINDOW_MILLIS / boundPerSecond), 1);
        }
        PacePlan best = of(ratePerSecond, 1, 1);
        for (int extras = EXTRA_HOLDERS; extras >= 0; extras--) {
            for (int perWindow = 1; perWindow <= Math.max(1, (int) (MAX_HOLDER_SHARE * total)); perWindow++) {
                int wanted = (int) Math.ceil(ratePerSecond * WINDOW_MILLIS / MILLIS_PER_SECOND / perWindow);
                int holders = Math.min(Math.min(instances, wanted), total / perWindow - extras);
                PacePlan plan = of(ratePerSecond, Math.max(1, holders), perWindow);
                if (holders >= 1 && plan.ratePerSecond() > MIN_GAIN * best.ratePerSecond()) {
                    best = plan;
                }
            }
            if (best.ratePerSecond() >= ratePerSecond / 2) {
                return best;
            }
        }
        return best;
    }

    private static PacePlan of(double ratePerSecond, int holders, int perWindow) {
        long forRateMillis = (long) Math.ceil(holders / ratePerSecond * MILLIS_PER_SECOND);
        return new PacePlan(holders, Math.max(forRateMillis, WINDOW_MILLIS / perWindow + 1), perWindow);
    }

    /** Returns the rate at which all holders together send at most, in requests a second. */
    double ratePerSecond() {
        return holders * MILLIS_PER_SECOND / spacingMillis;
    }
}
