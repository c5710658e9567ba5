package baobabcroft.relay;

/** How an attempt at an endpoint ended, as evidence about the endpoint's version. */
public enum AttemptResult {
    /** The endpoint answered without an error of its own. */
    ANSWERED,
    /** The answer had begun and was dropped, because a larger model was asked. */
    SUPERSEDED,
    /** The endpoint answered with an error, with something that is no answer, or not at all. */
    FAILED,
    /** The connection was lost before the answer was complete, as when the endpoint crashes. */
    LOST,
    /** The caller left or the deadline passed before the answer was complete. */
    ABANDONED,
    /** The endpoint did not run the request. */
    NOT_RUN
}
