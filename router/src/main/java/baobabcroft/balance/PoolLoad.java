package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Load of the endpoints that may serve a request, as this instance sees it.
 *
 * @param inFlight requests of this instance that run on them
 * @param load estimate of all instances' requests on them
 * @param capacity requests that may run on them at once
 * @param serviceMillis recent mean time of an answer, in milliseconds; zero if none is known
 */
public record PoolLoad(int inFlight, double load, int capacity, double serviceMillis) {
    /** Checks the counts. */
    public PoolLoad {
        checkArgument(inFlight >= 0, "negative inFlight: %s", inFlight);
        checkArgument(capacity >= 0, "negative capacity: %s", capacity);
    }
}
