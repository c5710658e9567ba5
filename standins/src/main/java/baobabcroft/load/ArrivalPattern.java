package baobabcroft.load;

/** Distribution of the intervals between requests. */
public enum ArrivalPattern {
    /** Exponentially distributed intervals, as produced by many independent callers (a Poisson process). */
    EXPONENTIAL,
    /** Equal intervals. */
    CONSTANT
}
