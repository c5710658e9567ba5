package baobabcroft.rollout;

/** The schedule of a rollout: the earliest start of each stage, as a fraction of the rollout's duration. */
final class RolloutPlan {
    /** Sessions must not change version in the first half; the margin allows for an order that was received late. */
    private static final double TRYING_FROM = 0.51;
    /**
     * New requests move late, so that a version that turns bad at that point stays within its share of all requests:
     * the share that it gets while it is tried and the time that remains are together below the contract's limit on
     * exposure.
     */
    private static final double MOVING_FROM = 0.79;
    /** Earliest completion, which leaves a tenth of the duration for lost writes. */
    private static final double COMPLETE_FROM = 0.89;
    /** Time for requests in flight on the old version to finish, in milliseconds. */
    private static final long MIN_MOVING_MILLIS = 2_200;

    private RolloutPlan() {}

    /** Returns the stage that is due if the new version is not bad; the current stage or the one after it. */
    static RolloutStage due(RolloutOrder order, RolloutStage current, long elapsedMillis, long inStageMillis) {
        double share = (double) elapsedMillis / order.durationMillis();
        return switch (current) {
            case HOLDING -> share >= TRYING_FROM ? RolloutStage.TRYING : current;
            case TRYING -> share >= MOVING_FROM ? RolloutStage.MOVING : current;
            case MOVING ->
                share >= COMPLETE_FROM && inStageMillis >= MIN_MOVING_MILLIS ? RolloutStage.COMPLETE : current;
            case COMPLETE, REVERTED -> current;
        };
    }
}
