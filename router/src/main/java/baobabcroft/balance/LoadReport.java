package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Load reported by an endpoint itself, with the requests of all instances.
 *
 * @param running requests being processed
 * @param queued requests waiting in the queue of the endpoint
 * @param takenAtNanos time of the measurement, by the monotonic clock of this instance, in nanoseconds
 */
public record LoadReport(int running, int queued, long takenAtNanos) {
    /** Validates the counts. */
    public LoadReport {
        checkArgument(running >= 0, "negative running: %s", running);
        checkArgument(queued >= 0, "negative queued: %s", queued);
    }

    /**
     * Returns the number of requests on the endpoint.
     *
     * @return running plus queued requests
     */
    public int total() {
        return running + queued;
    }
}
