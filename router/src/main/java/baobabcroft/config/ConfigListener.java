package baobabcroft.config;

/** Told of each configuration that an instance applies, in the order of their numbers. Must not block. */
@FunctionalInterface
public interface ConfigListener {
    /**
     * A greater number is in force on this instance.
     *
     * @param config the configuration
     */
    void onApplied(AppliedConfig config);
}
