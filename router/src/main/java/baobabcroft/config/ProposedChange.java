package baobabcroft.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A configuration change proposed by an operator.
 *
 * @param baseNumber number of the document that the change is based on; 0 if there is none
 * @param changeId unique identifier of the change; proposing it again returns the result of the first proposal
 * @param author name of the operator
 * @param comment reason for the change
 * @param rulesText full text of the new rules file
 */
public record ProposedChange(long baseNumber, String changeId, String author, String comment, String rulesText) {
    /** Rejects a negative base number, an empty change identifier and null components. */
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
