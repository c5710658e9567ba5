package baobabcroft.claim;

/** Tells which instances are gone. */
@FunctionalInterface
public interface InstancePresence {
    /**
     * Returns whether an instance is known to have ended.
     *
     * @param instance name of the instance
     * @return true only if it has provably ended; it can answer no more
     */
    boolean hasTerminated(String instance);
}
