package baobabcroft.balance;

import baobabcroft.rules.EndpointRule;

/**
 * An endpoint that may take a request now, as this instance sees it.
 *
 * @param rule the endpoint
 * @param locality how far it stands
 * @param inFlight requests of this instance that run on it
 * @param capacity requests that may run on it at once; less than the rule's during a slow start
 * @param reported requests on it by its latest load report, or zero if there is none
 * @param load estimate of all instances' requests on it: own in-flight and the report's others, discounted by age
 * @param serviceMillis recent time of one of its answers, in milliseconds; zero if none is known
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
     * @return one when it is full
     */
    public double relativeLoad() {
        return load / capacity;
    }

    /**
     * Returns how long a new request would wait before it starts.
     *
     * @return zero while the endpoint has room
     */
    public double expectedWaitMillis() {
        double excess = Math.max(0, load + 1 - capacity);
        return excess / capacity * serviceMillis;
    }

    /**
     * Returns whether a new request would be answered in time.
     *
     * @param remainingMillis time until the answer is due, in milliseconds
     * @return true if the expected wait and service end before
     */
    public boolean answersWithin(long remainingMillis) {
        return expectedWaitMillis() + serviceMillis <= remainingMillis;
    }
}
