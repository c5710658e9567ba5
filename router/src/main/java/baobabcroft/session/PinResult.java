package baobabcroft.session;

import baobabcroft.rules.VersionId;

/** Outcome of asking for a session's version. */
public sealed interface PinResult {
    /**
     * The session keeps this version.
     *
     * @param version the version
     * @param isNew whether the session was given it just now
     */
    record Pinned(VersionId version, boolean isNew) implements PinResult {}

    /**
     * The session's version could not be looked up or stored.
     *
     * @param retryAfterMillis when to try again, in milliseconds from now
     */
    record Unavailable(long retryAfterMillis) implements PinResult {}
}
