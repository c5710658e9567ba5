package baobabcroft.admin;

/**
 * A configuration.
 *
 * @param number its number
 * @param changeId identifier of the change that made it
 * @param author the operator who made the change
 * @param timeEpochMillis when it was made, in milliseconds since 1970 UTC
 * @param comment why it was made
 * @param text the rules file
 */
public record ConfigDocument(
        long number, String changeId, String author, long timeEpochMillis, String comment, String text) {
    /**
     * Returns the configuration without its rules.
     *
     * @return the summary
     */
    public ConfigSummary summary() {
        return new ConfigSummary(number, changeId, author, timeEpochMillis, comment);
    }
}
