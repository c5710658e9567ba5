package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;

/**
 * The automatic stop of a version that was found to be bad.
 *
 * @param version the stopped version
 * @param cause the measure that exceeded its level
 * @param atEpochMillis wall-clock time of the finding, in milliseconds since the epoch
 * @param trials number of answers or ratings on which the finding is based
 * @param rate rate of failures or slow answers, or mean rating shortfall, among them
 */
public record VersionStop(VersionId version, StopCause cause, long atEpochMillis, long trials, double rate) {
    /** Rejects null components. */
    public VersionStop {
        checkNotNull(version);
        checkNotNull(cause);
    }

    /** Why a version was stopped. Each cause is counted in a metric of its own. */
    public enum StopCause {
        /** Too many requests failed. */
        ERRORS,
        /** Too many answers were slow. */
        SLOWNESS,
        /** The ratings were below the expected quality. */
        QUALITY
    }
}
