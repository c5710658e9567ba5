package baobabcroft.standin.engine;

/**
 * Something that happened to a request.
 *
 * @param kind what happened
 * @param requestId the request
 * @param atMillis when, in milliseconds
 * @param tokens tokens of the answer that are ready by then
 */
public record EngineEvent(Kind kind, long requestId, double atMillis, int tokens) {
    /** Kinds of events. */
    public enum Kind {
        /** The request has its place in the batch. */
        STARTED,
        /** The first token is ready. */
        FIRST_TOKEN,
        /** A further token is ready. */
        TOKEN,
        /** All tokens are ready and the place in the batch is free. */
        FINISHED
    }
}
