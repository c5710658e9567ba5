package baobabcroft.rollout;

/** When a roll-out may go on to which stage, as shares of its duration. */
final class RolloutPlan {
    /** Sessions must not move in the first half; the margin is for an order that was seen late. */
    private static final double TRY_FROM = 0.51;
    /**
     * New work moves so late that a version that turns bad then has had no more than its share of all requests: the
     * share tried before and the time left are together under the contract's exposure.
     */
    private static final double MOVE_FROM = 0.79;
    /** Earliest end of the move, leaving a tenth of the duration for lost writes. */
    private static final double COMPLETE_FROM = 0.89;
    /** Time for work under way on the old version to end, in milliseconds. */
    private static final long FINISH_MILLIS = 2_200;

    private RolloutPlan() {}

    /** Returns the stage that a roll-out without bad evidence should have. */
    static RolloutStage due(RolloutOrder order, RolloutStage current, long elapsedMillis, long inStageMillis) {
        double share = (double) elapsedMillis / order.durationMillis();
        return switch (current) {
            case HOLDING -> share >= TRY_FROM ? RolloutStage.TRYING : current;
            case TRYING -> share >= MOVE_FROM ? RolloutStage.MOVING : current;
            case MOVING -> share >= COMPLETE_FROM && inStageMillis >= FINISH_MILLIS ? RolloutStage.COMPLETE : current;
            case COMPLETE, REVERTED -> current;
        };
    }
}
