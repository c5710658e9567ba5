package baobabcroft.membership;

/** What heartbeats say of an instance. */
public enum Presence {
    /** It answered lately. */
    ALIVE,
    /** It has not answered for some heartbeats. */
    SUSPECT,
    /** It has not answered for long, or never. */
    DEAD
}
