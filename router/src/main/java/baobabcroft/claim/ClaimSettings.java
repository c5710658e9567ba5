package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link ClaimService}.
 *
 * @param claimTimeoutMillis timeout for storing a claim, in milliseconds
 * @param settleTimeoutMillis time after which an outcome that is not stored yet is reported as pending, in milliseconds
 * @param pollIntervalMillis interval at which a waiting caller checks a running request, in addition to the slot watch,
 *     in milliseconds
 * @param maxAnswerBytes size of the largest answer body that is stored, in bytes; at most 65536
 * @param openGraceMillis how long after its deadline an open claim stays in the slot's own value, unsealed, in
 *     milliseconds
 * @param retentionMillis how long a claim is stored, from its settlement or else from its deadline, in milliseconds
 */
public record ClaimSettings(
        long claimTimeoutMillis,
        long settleTimeoutMillis,
        long pollIntervalMillis,
        int maxAnswerBytes,
        long openGraceMillis,
        long retentionMillis) {
    private static final long HOUR_MILLIS = 3_600_000;

    /** Checks the values. */
    public ClaimSettings {
        checkArgument(claimTimeoutMillis > 0, "claimTimeoutMillis must be positive, was %s", claimTimeoutMillis);
        checkArgument(settleTimeoutMillis > 0, "settleTimeoutMillis must be positive, was %s", settleTimeoutMillis);
        checkArgument(pollIntervalMillis > 0, "pollIntervalMillis must be positive, was %s", pollIntervalMillis);
        checkArgument(
                maxAnswerBytes >= 0 && maxAnswerBytes <= 64 * 1024,
                "maxAnswerBytes must be from 0 to 65536, was %s",
                maxAnswerBytes);
        checkArgument(openGraceMillis >= 0, "openGraceMillis must not be negative, was %s", openGraceMillis);
        checkArgument(
                retentionMillis > openGraceMillis,
                "retentionMillis must be greater than openGraceMillis, was %s",
                retentionMillis);
    }

    /**
     * Returns the default settings, sized for the current number of instances.
     *
     * @return the default settings
     */
    public static ClaimSettings defaults() {
        return new ClaimSettings(1_500, 1_000, 1_000, 16 * 1024, HOUR_MILLIS, 48 * HOUR_MILLIS);
    }
}
