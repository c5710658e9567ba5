package baobabcroft.soak;

/** Faults of the stand-ins, with which the oracle's detectors are tried. */
enum Plant {
    /** All is as it should be. */
    NONE,
    /** The endpoints' records show each order twice. */
    DOUBLE_RUN,
    /** Endpoints run requests that they reject as not executed. */
    FALSE_NOT_RUN,
    /** Endpoints believe that they have named limits, pauses and that they leave, and have not. */
    SILENT_STATEMENTS,
    /** Orders to evacuate and limits of regions are not written to the store. */
    LOST_ORDERS
}
