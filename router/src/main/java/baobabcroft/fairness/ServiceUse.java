package baobabcroft.fairness;

/**
 * How much of the endpoints of a service the requests of all instances use.
 *
 * @param slots requests that the endpoints process at the same time
 * @param inFlight requests under way
 * @param memoryTokens token memory that requests can use; 0 for plain services
 * @param heldTokens token memory that requests hold
 */
public record ServiceUse(long slots, long inFlight, long memoryTokens, long heldTokens) {
    /** Share of the slots up to which nobody is refused, and above which the uses of accounts are exchanged. */
    private static final double CONTENDED_SHARE = 0.5;

    /**
     * Returns the used share of the slots.
     *
     * @return the share; above 1 if requests wait at the endpoints
     */
    public double slotShare() {
        return slots == 0 ? 0 : (double) inFlight / slots;
    }

    /**
     * Returns the used share of the token memory.
     *
     * @return the share; 0 for plain services
     */
    public double memoryShare() {
        return memoryTokens == 0 ? 0 : (double) heldTokens / memoryTokens;
    }

    /**
     * Returns the used share of what is scarcer, slots or memory.
     *
     * @return the share
     */
    public double occupancy() {
        return Math.max(slotShare(), memoryShare());
    }

    /** Returns whether memory is scarcer than slots. */
    boolean isMemoryScarcer() {
        return memoryShare() > slotShare();
    }

    /** Returns whether most of the slots or of the memory are used. */
    boolean isContended() {
        return occupancy() > CONTENDED_SHARE;
    }

    /** Returns whether requests may be refused: not while half of the slots are free. */
    boolean mayRefuse() {
        return slotShare() >= CONTENDED_SHARE;
    }

    /** Returns this use with a number of further requests. */
    ServiceUse plus(long addedInFlight) {
        return new ServiceUse(slots, Math.max(0, inFlight + addedInFlight), memoryTokens, heldTokens);
    }
}
