package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link BadVersionDetector}: tolerated levels, bound on false alarms, and windows.
 *
 * @param falseAlarmRate bound on the probability of a false alarm for each version, cause and window start; in (0, 1)
 * @param toleratedErrorRate rate of errors up to which a version is never stopped; in (0, 1)
 * @param toleratedSlowRate rate of slow answers up to which a version is never stopped; in (0, 1)
 * @param qualityMargin how far the mean rating may be below the version's expected quality; in [0, 1)
 * @param windowMillis time between window starts, in milliseconds; must be positive
 * @param maxWindows number of window starts kept; must be positive
 */
public record DetectorSettings(
        double falseAlarmRate,
        double toleratedErrorRate,
        double toleratedSlowRate,
        double qualityMargin,
        long windowMillis,
        int maxWindows) {
    /** Rejects values out of range. */
    public DetectorSettings {
        checkArgument(falseAlarmRate > 0 && falseAlarmRate < 1, "falseAlarmRate not in (0, 1): %s", falseAlarmRate);
        checkArgument(
                toleratedErrorRate > 0 && toleratedErrorRate < 1,
                "toleratedErrorRate not in (0, 1): %s",
                toleratedErrorRate);
        checkArgument(
                toleratedSlowRate > 0 && toleratedSlowRate < 1,
                "toleratedSlowRate not in (0, 1): %s",
                toleratedSlowRate);
        checkArgument(qualityMargin >= 0 && qualityMargin < 1, "qualityMargin not in [0, 1): %s", qualityMargin);
        checkArgument(windowMillis > 0, "windowMillis not positive: %s", windowMillis);
        checkArgument(maxWindows > 0, "maxWindows not positive: %s", maxWindows);
    }

    /**
     * Returns the settings that apply when operators give none.
     *
     * @return the defaults
     */
    public static DetectorSettings defaults() {
        return new DetectorSettings(0.0005, 0.02, 0.05, 0.05, 10_000, 60);
    }
}
