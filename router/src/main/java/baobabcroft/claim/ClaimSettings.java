package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link ClaimService}.
 *
 * @param limitMillis longest time to wait for a claim to be stored, in milliseconds
 * @param settleWaitMillis how long to wait for an outcome to be stored before it is reported pending, in milliseconds
 * @param pollMillis how often a joined run is looked at, whatever the watch says, in milliseconds
 * @param maxAnswerBytes size up to which answers are kept
 * @param openGraceMillis how long past its deadline an open claim stays among the recent ones, in milliseconds
 * @param retentionMillis how long a claim is remembered, in milliseconds
 */
public record ClaimSettings(
        long limitMillis,
        long settleWaitMillis,
        long pollMillis,
        int maxAnswerBytes,
        long openGraceMillis,
        long retentionMillis) {
    private static final long HOUR_MILLIS = 3_600_000;

    /** Checks the values. */
    public ClaimSettings {
        checkArgument(limitMillis > 0, "limitMillis must be positive, was %s", limitMillis);
        checkArgument(settleWaitMillis > 0, "settleWaitMillis must be positive, was %s", settleWaitMillis);
        checkArgument(pollMillis > 0, "pollMillis must be positive, was %s", pollMillis);
        checkArgument(
                maxAnswerBytes >= 0 && maxAnswerBytes <= 64 * 1024,
                "maxAnswerBytes must be from 0 to 65536, was %s",
                maxAnswerBytes);
        checkArgument(openGraceMillis >= 0, "openGraceMillis must not be negative, was %s", openGraceMillis);
        checkArgument(retentionMillis > openGraceMillis, "retentionMillis is too small: %s", retentionMillis);
    }

    /**
     * Returns the settings for a fleet of today's size.
     *
     * @return the defaults
     */
    public static ClaimSettings defaults() {
        return new ClaimSettings(1_500, 1_000, 1_000, 16 * 1024, HOUR_MILLIS, 48 * HOUR_MILLIS);
    }
}
