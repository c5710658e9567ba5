package baobabcroft.common;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A time for which an endpoint has asked for no requests.
 *
 * @param millis the time, in milliseconds
 */
public record StatedPause(long millis) {
    /**
     * Longest random extension of a pause, as a share of it. It keeps instances that an endpoint has rejected together
     * from returning together.
     */
    private static final double MAX_EXTENSION_SHARE = 0.25;

    private static final long MAX_EXTENSION_MILLIS = 2_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Validates the time. */
    public StatedPause {
        checkArgument(millis >= 0, "negative millis: %s", millis);
    }

    /**
     * Reads a number of seconds, which may have a fraction.
     *
     * @param seconds the text
     * @return the pause; empty for anything else, such as a date or a negative number
     */
    public static Optional<StatedPause> parse(String seconds) {
        OptionalDouble parsed = Decimals.parse(seconds);
        return parsed.isPresent()
                ? Optional.of(new StatedPause((long) Math.ceil(parsed.getAsDouble() * MILLIS_PER_SECOND)))
                : Optional.empty();
    }

    /**
     * Returns the pause, shortened to a limit if it is longer.
     *
     * @param maxMillis the limit, in milliseconds
     * @return the pause
     */
    public StatedPause atMost(long maxMillis) {
        return millis > maxMillis ? new StatedPause(maxMillis) : this;
    }

    /**
     * Returns the time with a random extension.
     *
     * @param random a random number in [0, 1)
     * @return the time, in milliseconds
     */
    public long extendedMillis(double random) {
        return millis + (long) (random * Math.min(MAX_EXTENSION_MILLIS, MAX_EXTENSION_SHARE * millis));
    }
}
