package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * The finding that a version turned bad.
 *
 * @param version the version
 * @param cause what was bad
 * @param atEpochMillis when it was found, in milliseconds since the epoch
 * @param trials answers or ratings on which it rests
 * @param rate rate of bad ones among them
 */
public record VersionStop(VersionId version, StopCause cause, long atEpochMillis, long trials, double rate) {
    /** Checks the parts. */
    public VersionStop {
        checkNotNull(version);
        checkNotNull(cause);
    }

    /** What was bad about a version; each is a counter. */
    public enum StopCause {
        /** Too many requests failed. */
        ERRORS,
        /** Too many answers were slow. */
        SLOWNESS,
        /** The ratings lie below the expected quality. */
        QUALITY
    }
}
