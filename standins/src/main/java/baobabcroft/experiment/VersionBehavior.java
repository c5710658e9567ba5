package baobabcroft.experiment;

import baobabcroft.rules.VersionId;

/**
 * Behavior of a version at a point in virtual time.
 *
 * @param errorRate probability that an attempt fails with an error
 * @param stepFactor factor by which the number of decoding steps of a request grows; one is normal
 * @param qualityLoss amount subtracted from the quality of each answer
 */
record VersionBehavior(double errorRate, double stepFactor, double qualityLoss) {
    static final double HEALTHY_ERROR_RATE = 0.002;
    static final double DEGRADED_ERROR_RATE = 0.3;
    static final double DEGRADED_SLOWNESS = 3;
    static final double DEGRADED_QUALITY_LOSS = 0.3;

    private static final VersionBehavior HEALTHY = new VersionBehavior(HEALTHY_ERROR_RATE, 1, 0);

    static VersionBehavior of(VersionId version, Scenario scenario, double nowMillis) {
        boolean mayBeDegraded = version.version().equals("2") && nowMillis >= scenario.halfTimeMillis();
        if (!mayBeDegraded || scenario.degradation().isEmpty()) {
            return HEALTHY;
        }
        return switch (scenario.degradation().get()) {
            case ERRORS -> new VersionBehavior(DEGRADED_ERROR_RATE, 1, 0);
            case SLOWNESS -> new VersionBehavior(HEALTHY_ERROR_RATE, DEGRADED_SLOWNESS, 0);
            case QUALITY -> new VersionBehavior(HEALTHY_ERROR_RATE, 1, DEGRADED_QUALITY_LOSS);
        };
    }
}
