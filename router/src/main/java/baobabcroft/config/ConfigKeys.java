package baobabcroft.config;

/** Keys of the store that hold the configuration. */
public final class ConfigKeys {
    /** Holds the document in force. */
    public static final String CURRENT = "config/current";

    /** Start of the keys that hold superseded documents. */
    public static final String HISTORY_PREFIX = "config/history/";

    private ConfigKeys() {}

    /**
     * Returns the key of a superseded document.
     *
     * @param number the document's number
     * @return the key, which sorts by number
     */
    public static String history(long number) {
        return HISTORY_PREFIX + String.format("%019d", number);
    }
}
