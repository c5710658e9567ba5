package baobabcroft.pace;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The pace of an endpoint whose service states nothing. It starts at a part of what the endpoints of the service get on
 * average, doubles with time while no instance sees failures or late first outputs, stays while first outputs are late,
 * and halves while requests fail. It is over once it reaches the average. Not thread-safe.
 */
final class LearnedPace {
    /** Recent share of failed requests from which an endpoint is failing: one failure of late. */
    private static final double FAILING_RATE = 0.1;
    /** Delay of first outputs from which they are late, in milliseconds; delays below are not told to others. */
    private static final double LATE_MILLIS = 50;
    /** Time without failures and delays after which the pace doubles, in milliseconds; notices take up to a second. */
    private static final long STEP_MILLIS = 1_000;
    /** Doublings from the first pace, an eighth of the average, to the average. */
    private static final int LEVELS = 3;
    /** Time after which the pace is over whatever was seen, in milliseconds: the choice knows the endpoint by then. */
    private static final long MAX_MILLIS = 15_000;

    private final double averagePerSecond;
    private final long startedAtMillis;
    private int level;
    private long steppedAtMillis;

    /**
     * Creates a pace that is at its lowest.
     *
     * @param averagePerSecond requests a second that an endpoint of the service gets on average
     * @param nowMillis monotonic time, in milliseconds
     */
    LearnedPace(double averagePerSecond, long nowMillis) {
        checkArgument(averagePerSecond > 0, "averagePerSecond not positive: %s", averagePerSecond);
        this.averagePerSecond = averagePerSecond;
        this.startedAtMillis = nowMillis;
        this.steppedAtMillis = nowMillis;
    }

    /** Takes in what all instances have seen of the endpoint; to be called a few times a second. */
    void update(double failureRate, double lateMillis, long nowMillis) {
        boolean failing = failureRate >= FAILING_RATE;
        if (!failing && lateMillis >= LATE_MILLIS) {
            steppedAtMillis = nowMillis;
        } else if (nowMillis - steppedAtMillis >= STEP_MILLIS) {
            level = failing ? Math.max(0, level - 1) : level + 1;
            steppedAtMillis = nowMillis;
        }
    }

    /** Returns the pace over all instances, in requests a second. */
    double ratePerSecond() {
        return averagePerSecond * (1 << Math.min(level, LEVELS)) / (1 << LEVELS);
    }

    boolean isOver(long nowMillis) {
        return level >= LEVELS || nowMillis - startedAtMillis >= MAX_MILLIS;
    }
}
