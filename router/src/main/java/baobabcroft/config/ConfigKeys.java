package baobabcroft.config;

/** Keys of the store that hold the configuration. */
public final class ConfigKeys {
    /** Holds the document in force. */
    public static final String CURRENT = "config/current";

    private static final String HISTORY = "config/history/";

    private ConfigKeys() {}

    /**
     * Returns the key of a superseded document.
     *
     * @param number the document's number
     * @return the key, which sorts by number
     */
    public static String history(long number) {
        return HISTORY + String.format("%019d", number);
    }
}
