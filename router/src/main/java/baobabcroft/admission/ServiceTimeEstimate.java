package baobabcroft.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Recent time a token, from which the time of a request with a known bound on its tokens is estimated.
 *
 * <p>Thread-safe.
 */
public final class ServiceTimeEstimate {
    private static final double WEIGHT = 0.05;

    private double millisPerToken;

    private ServiceTimeEstimate() {}

    /**
     * Returns an estimate that knows nothing yet.
     *
     * @return the estimate
     */
    public static ServiceTimeEstimate create() {
        return new ServiceTimeEstimate();
    }

    /**
     * Learns from an answer.
     *
     * @param tokens tokens that were generated
     * @param tookMillis time from the send to the end of the answer, in milliseconds
     */
    public synchronized void recordAnswer(long tokens, double tookMillis) {
        checkArgument(tokens >= 0, "negative tokens: %s", tokens);
        double sample = tookMillis / Math.max(1, tokens);
        millisPerToken += (millisPerToken == 0 ? 1 : WEIGHT) * (sample - millisPerToken);
    }

    /**
     * Returns the expected time of a request that uses all its tokens.
     *
     * @param maxTokens tokens that it may generate
     * @return the time in milliseconds; zero if nothing is known
     */
    public synchronized double expectedMillis(long maxTokens) {
        return millisPerToken * maxTokens;
    }
}
