package baobabcroft.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimate of the service time of requests with a known token limit: an exponentially weighted average of the time for
 * each generated token.
 *
 * <p>Thread-safe.
 */
public final class ServiceTimeEstimate {
    private static final double SAMPLE_WEIGHT = 0.05;

    private double millisPerToken;

    private ServiceTimeEstimate() {}

    /**
     * Returns an estimate without observations.
     *
     * @return an estimate that expects zero for every request until the first answer
     */
    public static ServiceTimeEstimate create() {
        return new ServiceTimeEstimate();
    }

    /**
     * Adds the observation of one answer.
     *
     * @param tokens number of tokens generated
     * @param tookMillis time from the send to the end of the answer, in milliseconds
     */
    public synchronized void recordAnswer(long tokens, double tookMillis) {
        checkArgument(tokens >= 0, "negative tokens: %s", tokens);
        double sample = tookMillis / Math.max(1, tokens);
        millisPerToken += (millisPerToken == 0 ? 1 : SAMPLE_WEIGHT) * (sample - millisPerToken);
    }

    /**
     * Returns the expected service time of a request that generates as many tokens as it may.
     *
     * @param maxTokens most tokens that the request may generate
     * @return the time in milliseconds; zero before the first observation
     */
    public synchronized double expectedMillis(long maxTokens) {
        return millisPerToken * maxTokens;
    }
}
