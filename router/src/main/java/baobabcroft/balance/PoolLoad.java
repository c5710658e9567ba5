package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Total load of the endpoints that may serve a request, from the view of this instance.
 *
 * @param inFlight requests of this instance in flight on the endpoints
 * @param load estimated requests of all instances on the endpoints
 * @param capacity concurrent requests that the endpoints may take
 * @param serviceMillis mean time of recent answers, in milliseconds; zero if unknown
 */
public record PoolLoad(int inFlight, double load, int capacity, double serviceMillis) {
    /** Validates the counts. */
    public PoolLoad {
        checkArgument(inFlight >= 0, "negative inFlight: %s", inFlight);
        checkArgument(capacity >= 0, "negative capacity: %s", capacity);
    }
}
