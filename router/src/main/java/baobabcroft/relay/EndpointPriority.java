package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides on the priority that a request has at an endpoint, 0 being the highest.
 *
 * <p>The configured priority decides first; the size of the prompt decides among requests of the same one. Ten values
 * are divided evenly among the configured priorities, so that three of them leave three values each for prompt sizes.
 */
final class EndpointPriority {
    /** Values that endpoints tell apart, from 0 to 9. */
    private static final int VALUES = 10;

    private EndpointPriority() {}

    /**
     * Returns the priority at an endpoint.
     *
     * @param priority priority of the request by its client account or route
     * @param lowestPriority the greatest priority that the configuration names
     * @param sizePenalty by how much the size of the prompt lowers the priority
     */
    static int of(int priority, int lowestPriority, int sizePenalty) {
        checkArgument(sizePenalty >= 0, "sizePenalty must not be negative: %s", sizePenalty);
        int valuesEach = Math.max(1, VALUES / (Math.max(priority, lowestPriority) + 1));
        return priority * valuesEach + Math.min(sizePenalty, valuesEach - 1);
    }
}
