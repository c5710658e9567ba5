package baobabcroft.config;

/** Receives each configuration that an instance applies, in ascending order of numbers. Must not block. */
@FunctionalInterface
public interface ConfigListener {
    /**
     * Called when the instance has applied a configuration.
     *
     * @param config the configuration
     */
    void onApplied(AppliedConfig config);
}
