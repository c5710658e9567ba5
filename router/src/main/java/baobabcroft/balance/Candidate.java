package baobabcroft.balance;

import baobabcroft.rules.EndpointRule;

/**
 * Snapshot of an endpoint that may take a request now, from the view of this instance.
 *
 * @param rule configuration of the endpoint
 * @param locality distance from this instance
 * @param inFlight requests of this instance in flight on the endpoint
 * @param capacity concurrent requests allowed now; less than configured while the endpoint is probed or in slow start
 * @param reported requests on the endpoint by its latest load report; zero if there is none
 * @param load estimated requests of all instances on the endpoint: {@code inFlight} plus the requests of other
 *     instances in the latest report, discounted by its age
 * @param serviceMillis moving average of the time of its answers, in milliseconds; zero before the first answer
 */
public record Candidate(
        EndpointRule rule,
        Locality locality,
        int inFlight,
        int capacity,
        int reported,
        double load,
        double serviceMillis) {
    /**
     * Returns the estimated load relative to the capacity.
     *
     * @return the ratio; one when the endpoint is full
     */
    public double relativeLoad() {
        return load / capacity;
    }

    /**
     * Returns the expected wait of a new request before it starts.
     *
     * @return the wait in milliseconds; zero while the endpoint has capacity left
     */
    public double expectedWaitMillis() {
        double excess = Math.max(0, load + 1 - capacity);
        return excess / capacity * serviceMillis;
    }

    /**
     * Returns whether a new request is expected to be answered in time.
     *
     * @param remainingMillis time until the deadline of the request, in milliseconds
     * @return true if the expected wait and service time fit into it
     */
    public boolean answersWithin(long remainingMillis) {
        return expectedWaitMillis() + serviceMillis <= remainingMillis;
    }
}
