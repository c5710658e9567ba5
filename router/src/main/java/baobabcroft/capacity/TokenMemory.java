package baobabcroft.capacity;

import static com.google.common.base.Preconditions.checkArgument;

/** Decides whether a request fits into the token memory of an engine. */
public final class TokenMemory {
    /**
     * One part in this many of the memory stays free for requests that other instances are sending at the same moment:
     * about four of the longest requests of a deployment with 311,184 tokens and requests of 9,200.
     */
    private static final int RESERVED_PART = 8;

    /**
     * Time for which a request holds its memory, in milliseconds: short ones hold it for a second. With 2,000, engines
     * exceeded their memory by 1 % with 82 instances and a tenth of the notices lost.
     */
    private static final double MEAN_HOLD_MILLIS = 1_000;

    private TokenMemory() {}

    /**
     * Returns whether a request may be sent to an engine.
     *
     * @param capacityTokens memory of the engine
     * @param heldTokens what the requests of all instances hold there, with a margin for unknown ones
     * @param addedTokens what the request would add
     * @return whether it fits; an engine that holds nothing takes any request that is not larger than its memory
     */
    public static boolean fits(long capacityTokens, long heldTokens, long addedTokens) {
        checkArgument(heldTokens >= 0, "negative heldTokens: %s", heldTokens);
        long usableTokens = heldTokens == 0 ? capacityTokens : capacityTokens - capacityTokens / RESERVED_PART;
        return heldTokens + addedTokens <= usableTokens;
    }

    /**
     * Returns what another instance is likely to hold by now. As many requests begin as end in the time for which one
     * is held, so that a share of its earlier requests that grows with time has been added. Those that have ended in
     * the meantime are not subtracted, as a rising load has few.
     *
     * @param reportedTokens what it held when it sent its last notice
     * @param ageMillis age of the notice, in milliseconds
     * @return the tokens
     */
    public static long projected(long reportedTokens, long ageMillis) {
        return (long) (reportedTokens * (1 + Math.max(0, ageMillis) / MEAN_HOLD_MILLIS));
    }
}
