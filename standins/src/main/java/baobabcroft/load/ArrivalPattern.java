package baobabcroft.load;

/** How the times between requests are spread. */
public enum ArrivalPattern {
    /** Exponential times, as of many callers that know nothing of each other. */
    EXPONENTIAL,
    /** Equal times. */
    CONSTANT
}
