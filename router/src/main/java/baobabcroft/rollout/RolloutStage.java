package baobabcroft.rollout;

/**
 * The stages of a rollout. A stage is never followed by an earlier one. If instances know different ones, because the
 * store has lost a write, the latest counts.
 */
public enum RolloutStage {
    /** The new version gets no traffic, so that active sessions stay on the old version. */
    HOLDING,
    /** A small share of the sessions uses the new version, as a trial. */
    TRYING,
    /** New requests go to the new version; requests in flight on the old one finish there. */
    MOVING,
    /** The new version was found to be bad and gets no more requests. */
    REVERTED,
    /** The old version is no longer used. Last, because its endpoints are stopped at once. */
    COMPLETE;

    /**
     * Returns whether the rollout has ended.
     *
     * @return true for {@link #COMPLETE} and {@link #REVERTED}
     */
    public boolean isFinal() {
        return this == COMPLETE || this == REVERTED;
    }

    boolean isBefore(RolloutStage other) {
        return compareTo(other) < 0;
    }
}
