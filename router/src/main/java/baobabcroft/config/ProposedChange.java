package baobabcroft.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A change that an operator wants.
 *
 * @param baseNumber number of the document that the change was made on; 0 for none
 * @param changeId the change's own identifier; proposing it again finds out what became of it
 * @param author who wants it
 * @param comment why
 * @param rulesText the whole new rules file
 */
public record ProposedChange(long baseNumber, String changeId, String author, String comment, String rulesText) {
    /** Checks the parts. */
    public ProposedChange {
        checkArgument(baseNumber >= 0, "baseNumber must not be negative, was %s", baseNumber);
        checkArgument(!changeId.isEmpty(), "changeId is empty");
        checkNotNull(author);
        checkNotNull(comment);
        checkNotNull(rulesText);
    }

    ConfigDocument toDocument(long number, long atEpochMillis) {
        return new ConfigDocument(number, changeId, author, comment, atEpochMillis, rulesText);
    }
}
