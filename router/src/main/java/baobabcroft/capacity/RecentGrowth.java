package baobabcroft.capacity;

/**
 * By how much an amount has grown in the last second. Other failure domains tell what they hold once a second at the
 * latest; until then, they are assumed to have sent as much to an endpoint as this one. Not thread-safe.
 */
final class RecentGrowth {
    /** Half of the time over which growth is measured, in milliseconds: half of the longest notice interval. */
    private static final long BUCKET_MILLIS = 500;

    private long bucket = Long.MIN_VALUE;
    private long minimum;
    private long previousMinimum;
    private long lastAmount;

    /**
     * Records the present amount.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param amount the amount
     * @return the excess over the least amount of this bucket and the one before, or over the last amount known if
     *     nothing was recorded in the one before; 0 if there is none, and the first time
     */
    long record(long nowMillis, long amount) {
        long current = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (bucket == Long.MIN_VALUE) {
            lastAmount = amount;
        }
        if (current != bucket) {
            previousMinimum = current - 1 == bucket ? minimum : lastAmount;
            minimum = amount;
            bucket = current;
        }
        minimum = Math.min(minimum, amount);
        lastAmount = amount;
        return amount - Math.min(minimum, previousMinimum);
    }
}
