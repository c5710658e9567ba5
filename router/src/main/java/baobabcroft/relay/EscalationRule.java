package baobabcroft.relay;

/** Decides whether a larger model is worth asking after a smaller one that doubts its answer. */
final class EscalationRule {
    /**
     * Maximum expected time to first output of a larger model, as a multiple of the time left until the goal. Above 1
     * because engines interleave the prefill of several prompts, whereas the expectation adds up their times.
     */
    private static final double GOAL_FACTOR = 1.5;
    /** The same multiple for an idle engine. Larger, as an answer after the goal still has value. */
    private static final double IDLE_GOAL_FACTOR = 2.5;
    /** Maximum wait caused by other requests for an idle engine, as a multiple of the time left until the goal. */
    private static final double IDLE_WAIT_FACTOR = 0.15;

    private EscalationRule() {}

    /**
     * Returns whether the answer of the larger model is expected to start close to the goal, or its engine is idle and
     * late only because the prompt is long. A late answer on a busy engine would delay other requests.
     */
    static boolean isWorthwhile(EndpointChooser.Choice choice, long goalLeftMillis) {
        return choice.firstOutputMillis() < GOAL_FACTOR * goalLeftMillis
                || (choice.firstOutputMillis() < IDLE_GOAL_FACTOR * goalLeftMillis
                        && choice.waitMillis() < IDLE_WAIT_FACTOR * goalLeftMillis);
    }
}
