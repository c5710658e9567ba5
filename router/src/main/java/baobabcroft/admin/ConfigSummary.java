package baobabcroft.admin;

/**
 * A configuration without its rules.
 *
 * @param number its number
 * @param changeId identifier of the change that made it
 * @param author the operator who made the change
 * @param timeEpochMillis when it was made, in milliseconds since 1970 UTC
 * @param comment why it was made
 */
public record ConfigSummary(long number, String changeId, String author, long timeEpochMillis, String comment) {}
