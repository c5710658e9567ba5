package baobabcroft.routing;

/** Whether the requests of a route may be executed repeatedly. */
public enum RouteKind {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Executed at most once for each attempt of a caller. */
    NON_IDEMPOTENT,
    /** Answered with a stream of events; executed at most once unless the route is resumable. */
    STREAMING
}
