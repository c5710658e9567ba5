package baobabcroft.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of an admission queue.
 *
 * @param maxWaiting most requests that may wait at once
 * @param reserveShare share of the capacity that a priority leaves to each higher priority with recent requests
 * @param reservationMillis time after its last request for which a priority keeps its reservation, in milliseconds
 */
public record AdmissionSettings(int maxWaiting, double reserveShare, long reservationMillis) {
    /** Validates the values. */
    public AdmissionSettings {
        checkArgument(maxWaiting >= 0, "negative maxWaiting: %s", maxWaiting);
        checkArgument(reserveShare >= 0 && reserveShare < 1, "reserveShare not in [0, 1): %s", reserveShare);
        checkArgument(reservationMillis > 0, "reservationMillis not positive: %s", reservationMillis);
    }

    /**
     * Returns the default settings.
     *
     * @return the settings used when operators configure none
     */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(1_000, 0.05, 10_000);
    }
}
