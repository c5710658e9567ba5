package baobabcroft.rules;

/** State of a model version in its roll-out. */
public enum VersionState {
    /** Takes its share of new sessions and of requests without a session. */
    OPEN,
    /** Takes no new sessions; existing sessions that are pinned to it continue to use it. */
    CLOSED,
    /** Takes no requests, not even from existing sessions. */
    WITHDRAWN
}
