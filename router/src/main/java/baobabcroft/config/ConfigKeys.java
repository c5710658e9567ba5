package baobabcroft.config;

/** Keys of the configuration in the store. */
public final class ConfigKeys {
    /** Key of the current document. */
    public static final String CURRENT = "config/current";

    /** Prefix of the keys of superseded documents. */
    public static final String HISTORY_PREFIX = "config/history/";

    private ConfigKeys() {}

    /**
     * Returns the key of a superseded document.
     *
     * @param number number of the document
     * @return the key; keys sort in the order of their numbers
     */
    public static String history(long number) {
        return HISTORY_PREFIX + String.format("%019d", number);
    }
}
