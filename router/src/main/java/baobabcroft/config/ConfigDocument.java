package baobabcroft.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.peer.proto.ConfigDocumentMessage;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;

/**
 * One version of the configuration.
 *
 * @param number greater than that of every earlier version
 * @param changeId identifier chosen for the change; proposing a change with the same identifier again has no effect
 * @param author name of the operator who made the change
 * @param comment reason for the change, given by the author
 * @param createdAtEpochMillis time of creation by the wall clock of the writing instance, in milliseconds since 1970
 * @param rulesText full text of the rules file
 */
public record ConfigDocument(
        long number, String changeId, String author, String comment, long createdAtEpochMillis, String rulesText) {
    /** Rejects a number that is not positive, an empty change identifier and null components. */
    public ConfigDocument {
        checkArgument(number > 0, "number must be positive, was %s", number);
        checkArgument(!changeId.isEmpty(), "changeId is empty");
        checkNotNull(author);
        checkNotNull(comment);
        checkNotNull(rulesText);
    }

    ConfigDocumentMessage toMessage() {
        return ConfigDocumentMessage.newBuilder()
                .setNumber(number)
                .setChangeId(changeId)
                .setAuthor(author)
                .setComment(comment)
                .setAtEpochMillis(createdAtEpochMillis)
                .setRulesText(rulesText)
                .build();
    }

    static ConfigDocument fromMessage(ConfigDocumentMessage message) {
        return new ConfigDocument(
                message.getNumber(),
                message.getChangeId(),
                message.getAuthor(),
                message.getComment(),
                message.getAtEpochMillis(),
                message.getRulesText());
    }

    /**
     * Returns the document in the format in which it is stored.
     *
     * @return the serialized {@link ConfigDocumentMessage}
     */
    public ByteString toBytes() {
        return toMessage().toByteString();
    }

    /**
     * Parses a stored document.
     *
     * @param bytes the stored value
     * @return the document, or empty if the bytes are not a valid document
     */
    public static Optional<ConfigDocument> fromBytes(ByteString bytes) {
        try {
            return Optional.of(fromMessage(ConfigDocumentMessage.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
