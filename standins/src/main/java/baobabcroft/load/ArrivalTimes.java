package baobabcroft.load;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.SplittableRandom;

/** Generates the scheduled send times of requests. The same seed gives the same times. Not thread-safe. */
final class ArrivalTimes {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ArrivalPattern pattern;
    private final double meanNanos;
    private final SplittableRandom random;
    private double nextNanos;

    private ArrivalTimes(ArrivalPattern pattern, double meanNanos, long seed) {
        this.pattern = pattern;
        this.meanNanos = meanNanos;
        this.random = new SplittableRandom(seed);
    }

    static ArrivalTimes create(ArrivalPattern pattern, double perSecond, long seed) {
        checkArgument(perSecond > 0, "perSecond must be positive, was %s", perSecond);
        return new ArrivalTimes(checkNotNull(pattern), NANOS_PER_SECOND / perSecond, seed);
    }

    /** Returns the send time of the next request, in nanoseconds since the start of the run. */
    long nextNanos() {
        nextNanos += meanNanos * (pattern == ArrivalPattern.EXPONENTIAL ? random.nextExponential() : 1);
        return (long) nextNanos;
    }
}
