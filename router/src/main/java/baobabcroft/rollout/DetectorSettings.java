package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What counts as bad, and how sure the detector must be.
 *
 * @param falseAlarmRate bound on the probability of a false alarm a version, cause and window start
 * @param toleratedErrorRate rate of errors that never stops a version
 * @param toleratedSlowRate rate of slow answers that never stops a version
 * @param qualityMargin how far the mean rating may lie below the version's expected quality
 * @param windowMillis time between window starts, in milliseconds
 * @param maxWindows window starts kept
 */
public record DetectorSettings(
        double falseAlarmRate,
        double toleratedErrorRate,
        double toleratedSlowRate,
        double qualityMargin,
        long windowMillis,
        int maxWindows) {
    /** Checks the values. */
    public DetectorSettings {
        checkArgument(falseAlarmRate > 0 && falseAlarmRate < 1, "falseAlarmRate not in (0, 1): %s", falseAlarmRate);
        checkArgument(toleratedErrorRate > 0 && toleratedErrorRate < 1, "toleratedErrorRate: %s", toleratedErrorRate);
        checkArgument(toleratedSlowRate > 0 && toleratedSlowRate < 1, "toleratedSlowRate: %s", toleratedSlowRate);
        checkArgument(qualityMargin >= 0 && qualityMargin < 1, "qualityMargin not in [0, 1): %s", qualityMargin);
        checkArgument(windowMillis > 0, "windowMillis not positive: %s", windowMillis);
        checkArgument(maxWindows > 0, "maxWindows not positive: %s", maxWindows);
    }

    /**
     * Returns the settings used when operators give none.
     *
     * @return the defaults
     */
    public static DetectorSettings defaults() {
        return new DetectorSettings(0.0005, 0.02, 0.05, 0.05, 10_000, 60);
    }
}
