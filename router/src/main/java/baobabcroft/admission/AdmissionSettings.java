package baobabcroft.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of an admission queue.
 *
 * @param maxWaiting requests that may wait at once
 * @param reserveShare part of the capacity that a class leaves free for each greater class with recent requests
 * @param recentMillis how long a class counts as recent, in milliseconds
 */
public record AdmissionSettings(int maxWaiting, double reserveShare, long recentMillis) {
    /** Checks the values. */
    public AdmissionSettings {
        checkArgument(maxWaiting >= 0, "negative maxWaiting: %s", maxWaiting);
        checkArgument(reserveShare >= 0 && reserveShare < 1, "reserveShare not in [0, 1): %s", reserveShare);
        checkArgument(recentMillis > 0, "recentMillis not positive: %s", recentMillis);
    }

    /**
     * Returns the settings used when operators give none.
     *
     * @return the defaults
     */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(1_000, 0.05, 10_000);
    }
}
