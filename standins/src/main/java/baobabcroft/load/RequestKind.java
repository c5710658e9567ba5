package baobabcroft.load;

/** Kind of request that a run sends. */
public enum RequestKind {
    /** A chat completion, returned as one JSON document. */
    CHAT,
    /** A chat completion, streamed as server-sent events. */
    STREAM,
    /** An operation of a plain service, sent with an idempotency key. */
    SERVICE
}
