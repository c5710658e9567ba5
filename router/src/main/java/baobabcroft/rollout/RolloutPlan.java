package baobabcroft.rollout;

/** The schedule of a rollout: the earliest start of each stage, and the share of requests that move. */
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
    /**
     * Time in which half of the requests move, in milliseconds. A slow version is found by answers that are late, so
     * those that are sent until then are exposed whatever they show.
     */
    private static final long HALF_MOVING_MILLIS = 1_000;

    private static final double HALF = 0.5;
    /** Time in which all requests move and those in flight on the old version finish, in milliseconds. */
    private static final long ALL_MOVING_MILLIS = 2_000;
    /** Time for writing the last stages and the status, in milliseconds. */
    private static final long WRITING_MILLIS = 2_600;

    private RolloutPlan() {}

    /** Returns the stage that is due if the new version is not bad; the current stage or the one after it. */
    static RolloutStage due(RolloutOrder order, RolloutStage current, long elapsedMillis, long inStageMillis) {
        double share = (double) elapsedMillis / order.durationMillis();
        return switch (current) {
            case HOLDING -> share >= TRYING_FROM ? RolloutStage.TRYING : current;
            case TRYING -> share >= movingFrom(order.durationMillis()) ? RolloutStage.MOVING : current;
            case MOVING ->
                share >= COMPLETE_FROM && inStageMillis >= HALF_MOVING_MILLIS + ALL_MOVING_MILLIS
                        ? RolloutStage.COMPLETE
                        : current;
            case COMPLETE, REVERTED -> current;
        };
    }

    /**
     * Returns when requests move, as a fraction of the duration: earlier in short rollouts, so that they end in time.
     */
    private static double movingFrom(long durationMillis) {
        double last = 1 - (double) (HALF_MOVING_MILLIS + ALL_MOVING_MILLIS + WRITING_MILLIS) / durationMillis;
        return Math.max(TRYING_FROM, Math.min(MOVING_FROM, last));
    }

    /** Returns the time for which all requests move before the old version is removed, in milliseconds. */
    static long allMovingMillis() {
        return ALL_MOVING_MILLIS;
    }

    /** Returns the shortest time in {@link RolloutStage#MOVING} after which all requests move, in milliseconds. */
    static long halfMovingMillis() {
        return HALF_MOVING_MILLIS;
    }

    /** Returns the share of the sessions that use the new version. */
    static double targetShare(RolloutStage stage, double tryingShare, boolean allMove) {
        return switch (stage) {
            case HOLDING, REVERTED -> 0;
            case TRYING -> tryingShare;
            case MOVING -> allMove ? 1 : HALF;
            case COMPLETE -> 1;
        };
    }
}
