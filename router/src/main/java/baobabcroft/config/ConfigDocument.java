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
 * @param changeId the change's own identifier, by which its author recognises it
 * @param author who made the change
 * @param comment why
 * @param createdAtEpochMillis when, by the writer's wall clock, in milliseconds since 1970
 * @param rulesText the rules file
 */
public record ConfigDocument(
        long number, String changeId, String author, String comment, long createdAtEpochMillis, String rulesText) {
    /** Checks the parts. */
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
     * Returns the document as it stands in the store.
     *
     * @return a serialized message
     */
    public ByteString toBytes() {
        return toMessage().toByteString();
    }

    /**
     * Reads a document from the store.
     *
     * @param bytes what the store holds
     * @return the document, or empty if the bytes are none
     */
    public static Optional<ConfigDocument> fromBytes(ByteString bytes) {
        try {
            return Optional.of(fromMessage(ConfigDocumentMessage.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
