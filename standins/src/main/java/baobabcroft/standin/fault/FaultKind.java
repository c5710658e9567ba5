package baobabcroft.standin.fault;

/** Kinds of faults injected into single requests. */
public enum FaultKind {
    /** The connection is aborted and new ones are refused for the outage time, as if the process had crashed. */
    CRASH,
    /** No response is ever sent. */
    HANG,
    /** The connection is aborted in the middle of the response. */
    DIE_MID_ANSWER,
    /** The response body is malformed. */
    GARBAGE,
    /** The response is truncated but presented as complete. */
    HALF_ANSWER,
    /** The response carries the identifier of another request. */
    WRONG_ID,
    /** The response is delayed further. */
    LATE,
    /** The response is an internal server error. */
    ERROR
}
