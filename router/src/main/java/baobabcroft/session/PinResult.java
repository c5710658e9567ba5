package baobabcroft.session;

import baobabcroft.rules.VersionId;

/** Result of looking up or pinning a session's version. */
public sealed interface PinResult {
    /**
     * The session is pinned to a version.
     *
     * @param version the version
     * @param isNew whether this call pinned the session
     */
    record Pinned(VersionId version, boolean isNew) implements PinResult {}

    /**
     * The session's version could not be read or stored because the store is unavailable.
     *
     * @param retryAfterMillis delay before a retry, in milliseconds
     */
    record Unavailable(long retryAfterMillis) implements PinResult {}
}
