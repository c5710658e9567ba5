package baobabcroft.membership;

/** Presence of an instance according to its heartbeats. */
public enum Presence {
    /** A heartbeat was received recently. */
    ALIVE,
    /** Several heartbeats in a row were missed. */
    SUSPECT,
    /** No heartbeat was received for longer than that, or ever. */
    DEAD
}
