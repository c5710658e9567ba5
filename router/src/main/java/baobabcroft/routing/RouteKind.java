package baobabcroft.routing;

/** Whether requests of a route may be repeated. */
public enum RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs at most once for each caller attempt. */
    NON_IDEMPOTENT,
    /** Answers with a series of events; runs at most once unless the route may be resumed. */
    STREAMING
}
