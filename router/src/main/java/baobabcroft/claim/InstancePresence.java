package baobabcroft.claim;

/** Reports which instances have terminated. */
@FunctionalInterface
public interface InstancePresence {
    /**
     * Returns whether an instance has provably terminated.
     *
     * @param instance name of the instance
     * @return true only if the instance has terminated and can no longer settle its claims; false if in doubt
     */
    boolean hasTerminated(String instance);
}
