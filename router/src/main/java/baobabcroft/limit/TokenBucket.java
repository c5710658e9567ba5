package baobabcroft.limit;

/** Token bucket with an adjustable rate. The level may become negative by one charge. Not thread-safe. */
final class TokenBucket {
    private static final long MILLIS_PER_SECOND = 1_000;

    private double ratePerSecond;
    private double maxTokens;
    private double tokens;
    private long refilledAtMillis;

    TokenBucket(double ratePerSecond, double maxTokens, long nowMillis) {
        this(ratePerSecond, maxTokens, maxTokens, nowMillis);
    }

    TokenBucket(double ratePerSecond, double maxTokens, double tokens, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.maxTokens = maxTokens;
        this.tokens = tokens;
        this.refilledAtMillis = nowMillis;
    }

    void refill(double newRatePerSecond, double newMaxTokens, long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
        tokens += ratePerSecond * elapsedMillis / MILLIS_PER_SECOND;
        ratePerSecond = newRatePerSecond;
        maxTokens = newMaxTokens;
        tokens = Math.min(maxTokens, tokens);
        refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
    }

    boolean hasAtLeast(double needed) {
        return tokens >= needed;
    }

    void take(double taken) {
        tokens -= taken;
    }

    /** Returns the time from the last refill until the bucket holds an amount, in milliseconds. */
    long millisUntil(double needed) {
        if (ratePerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil(Math.max(0, needed - tokens) / ratePerSecond * MILLIS_PER_SECOND);
    }
}
