package baobabcroft.experiment;

import baobabcroft.rules.VersionId;

/**
 * Behavior of a version at a point in virtual time.
 *
 * @param errorRate probability that an attempt fails with an error
 * @param slowness factor by which the number of decoding steps of a request grows; one is normal
 * @param qualityLoss amount subtracted from the quality of each answer
 */
record VersionBehavior(double errorRate, double slowness, double qualityLoss) {
    static final double GOOD_ERROR_RATE = 0.002;
    static final double BAD_ERROR_RATE = 0.3;
    static final double BAD_SLOWNESS = 3;
    static final double BAD_QUALITY_LOSS = 0.3;

    private static final VersionBehavior GOOD = new VersionBehavior(GOOD_ERROR_RATE, 1, 0);

    static VersionBehavior of(VersionId version, Scenario scenario, double nowMillis) {
        boolean turned = version.version().equals("2") && nowMillis >= scenario.halfTimeMillis();
        if (!turned || scenario.badness().isEmpty()) {
            return GOOD;
        }
        return switch (scenario.badness().get()) {
            case ERRORS -> new VersionBehavior(BAD_ERROR_RATE, 1, 0);
            case SLOWNESS -> new VersionBehavior(GOOD_ERROR_RATE, BAD_SLOWNESS, 0);
            case QUALITY -> new VersionBehavior(GOOD_ERROR_RATE, 1, BAD_QUALITY_LOSS);
        };
    }
}
