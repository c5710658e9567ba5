package baobabcroft.standin.engine;

/**
 * Progress event of a request.
 *
 * @param kind the kind of progress
 * @param requestId engine-local identifier of the request
 * @param atMillis model time of the event, in milliseconds
 * @param tokens number of answer tokens generated so far
 */
public record EngineEvent(Kind kind, long requestId, double atMillis, int tokens) {
    /** Kinds of progress. */
    public enum Kind {
        /** The request was admitted to the batch. */
        STARTED,
        /** The first token was generated. */
        FIRST_TOKEN,
        /** A further token was generated. */
        TOKEN,
        /** All tokens were generated and the request left the batch. */
        FINISHED
    }
}
