package baobabcroft.relay;

/** How an attempt that reached an endpoint ended, as evidence about the endpoint's version. */
public enum AttemptResult {
    /** The endpoint answered without an error of its own. */
    ANSWERED,
    /** The endpoint answered with an error, with something that is no answer, or not at all. */
    FAILED,
    /** The connection was lost before the answer was complete, as when the endpoint crashes. */
    LOST
}
