package baobabcroft.rollout;

/**
 * Response times of the old version on one route, as the standard for the new one: the lowest moving average since the
 * start of the rollout. A disturbance of the old version so does not make a slow new version look normal. Not
 * thread-safe.
 */
final class ResponseTimes {
    /** An answer is slow if it takes more than this multiple of the standard. */
    private static final double SLOW_FACTOR = 3;
    /** An answer is slow only if it also exceeds the standard by this share of the route's latency goal. */
    private static final double MIN_SLOW_EXCESS_GOAL_SHARE = 0.25;
    /** Weight of a new answer in the moving average. */
    private static final double AVERAGE_WEIGHT = 0.1;
    /** Answers from which the average serves as the standard. */
    private static final int MIN_ANSWERS = 5;

    private double averageMillis;
    private double lowestAverageMillis = Double.MAX_VALUE;
    private int answers;

    ResponseTimes() {}

    /** Adds the response time of an answer of the old version. */
    void add(long millis) {
        averageMillis = answers == 0 ? millis : averageMillis + AVERAGE_WEIGHT * (millis - averageMillis);
        answers++;
        if (answers >= MIN_ANSWERS) {
            lowestAverageMillis = Math.min(lowestAverageMillis, averageMillis);
        }
    }

    /** Returns the time after which an answer is slow, in milliseconds; the given one without a standard. */
    double slowAfterMillis(long goalMillis, double withoutStandardMillis) {
        return answers < MIN_ANSWERS
                ? withoutStandardMillis
                : Math.max(
                        SLOW_FACTOR * lowestAverageMillis,
                        lowestAverageMillis + MIN_SLOW_EXCESS_GOAL_SHARE * goalMillis);
    }
}
