package baobabcroft.rules;

/** State of a version in its roll-out. */
public enum VersionState {
    /** Takes its share of new sessions and of requests without a session. */
    OPEN,
    /** Takes no new session; sessions that keep it go on. */
    CLOSED,
    /** Takes no new work at all. */
    WITHDRAWN
}
