package baobabcroft.admin;

/**
 * A configuration without its rules.
 *
 * @param number number of the configuration, increasing with each change
 * @param changeId identifier of the change that created it
 * @param author name of the operator who made the change
 * @param timeEpochMillis time of the change, in milliseconds since the epoch
 * @param comment reason for the change
 */
public record ConfigSummary(long number, String changeId, String author, long timeEpochMillis, String comment) {}
