package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * Total load of the endpoints that may serve a request, from the view of this instance.
 *
 * @param inFlight requests of this instance in flight on the endpoints
 * @param load estimated requests of all instances on the endpoints
 * @param capacity concurrent requests that the endpoints may take
 * @param serviceMillis mean time of recent answers, in milliseconds; zero if unknown
 * @param pauseMillis time until the first of the endpoints that have asked for a pause takes requests again, in
 *     milliseconds; empty if none has
 */
public record PoolLoad(int inFlight, double load, int capacity, double serviceMillis, OptionalLong pauseMillis) {
    /** Validates the counts. */
    public PoolLoad {
        checkArgument(inFlight >= 0, "negative inFlight: %s", inFlight);
        checkArgument(capacity >= 0, "negative capacity: %s", capacity);
        checkNotNull(pauseMillis);
    }

    /**
     * Returns the load of endpoints of which none has asked for a pause.
     *
     * @param inFlight requests of this instance in flight on the endpoints
     * @param load estimated requests of all instances on the endpoints
     * @param capacity concurrent requests that the endpoints may take
     * @param serviceMillis mean time of recent answers, in milliseconds; zero if unknown
     * @return the load
     */
    public static PoolLoad withoutPauses(int inFlight, double load, int capacity, double serviceMillis) {
        return new PoolLoad(inFlight, load, capacity, serviceMillis, OptionalLong.empty());
    }
}
