package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What an endpoint says about its load, for all instances together.
 *
 * @param running requests that run on it
 * @param queued requests that wait in its queue
 * @param takenAtNanos when it was taken, by the receiver's monotonic clock
 */
public record LoadReport(int running, int queued, long takenAtNanos) {
    /** Checks the counts. */
    public LoadReport {
        checkArgument(running >= 0, "negative running: %s", running);
        checkArgument(queued >= 0, "negative queued: %s", queued);
    }

    /**
     * Returns the requests that the endpoint holds.
     *
     * @return running and queued requests
     */
    public int total() {
        return running + queued;
    }
}
