package baobabcroft.load;

/** What is asked for. */
public enum RequestKind {
    /** A chat completion in one piece. */
    CHAT,
    /** A chat completion as a stream of events. */
    STREAM,
    /** A call of a plain service. */
    SERVICE
}
