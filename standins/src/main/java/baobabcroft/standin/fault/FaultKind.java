package baobabcroft.standin.fault;

/** Faults that strike single requests. */
public enum FaultKind {
    /** The connection is cut and new ones are refused for a while, as if the process had died. */
    CRASH,
    /** No answer ever comes. */
    HANG,
    /** The connection is cut in the middle of the answer. */
    DIE_MID_ANSWER,
    /** The answer is not of the agreed form. */
    GARBAGE,
    /** The answer ends in the middle as if it were whole. */
    HALF_ANSWER,
    /** The answer carries another request's identifier. */
    WRONG_ID,
    /** The answer comes after a further delay. */
    LATE,
    /** The answer is an internal error. */
    ERROR
}
