package baobabcroft.admin;

/**
 * A configuration with its rules.
 *
 * @param number number of the configuration, increasing with each change
 * @param changeId identifier of the change that created it
 * @param author name of the operator who made the change
 * @param timeEpochMillis time of the change, in milliseconds since the epoch
 * @param comment reason for the change
 * @param text the whole rules file
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
