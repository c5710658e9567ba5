package baobabcroft.rollout;

/** How far a roll-out has come. A stage is never followed by an earlier one. */
public enum RolloutStage {
    /** No traffic for the new version, so that sessions under way stay where they are. */
    HOLDING,
    /** A small share of the sessions uses the new version. */
    TRYING,
    /** New work goes to the new version; work under way on the old one is finished. */
    MOVING,
    /** The old version is done with. */
    COMPLETE,
    /** The new version turned out bad and gets nothing more. */
    REVERTED;

    /**
     * Returns whether the roll-out is over.
     *
     * @return true for the last two stages
     */
    public boolean isFinal() {
        return this == COMPLETE || this == REVERTED;
    }
}
