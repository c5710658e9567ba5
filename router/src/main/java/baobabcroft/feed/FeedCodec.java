package baobabcroft.feed;

import baobabcroft.feed.proto.FeedChange;
import baobabcroft.feed.proto.FeedChanges;
import baobabcroft.feed.proto.FeedMessage;
import baobabcroft.replica.FeedUpdate;
import baobabcroft.replica.KeyChange;
import baobabcroft.replica.StoreRevision;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.List;
import java.util.Optional;

/** Conversions between updates and messages, and the handlers that frame messages. */
final class FeedCodec {
    private FeedCodec() {}

    /** Returns the handlers of a connection that receives messages of one type, ending with the given one. */
    static ImmutableList<ChannelHandler> handlers(MessageLite received, ChannelHandler handler) {
        return ImmutableList.of(
                new ProtobufVarint32FrameDecoder(),
                new ProtobufDecoder(received),
                new ProtobufVarint32LengthFieldPrepender(),
                new ProtobufEncoder(),
                handler);
    }

    static FeedChange toMessage(KeyChange change) {
        return FeedChange.newBuilder()
                .setKey(change.key())
                .setValue(change.value().orElse(ByteString.EMPTY))
                .setRemoved(change.value().isEmpty())
                .setRevision(change.revision().number())
                .build();
    }

    /**
     * Returns the update that a message carries.
     *
     * @throws IllegalArgumentException if a number is negative, or the compressed changes are malformed or too large
     */
    static FeedUpdate toUpdate(FeedMessage message) {
        ImmutableList.Builder<KeyChange> changes = ImmutableList.builder();
        for (FeedChange change : changesOf(message)) {
            Optional<ByteString> value = change.getRemoved() ? Optional.empty() : Optional.of(change.getValue());
            changes.add(
                    new KeyChange(change.getKey(), value, new StoreRevision(message.getEra(), change.getRevision())));
        }
        return new FeedUpdate(
                new StoreRevision(message.getEra(), message.getRevision()),
                message.getComplete(),
                changes.build(),
                message.getContact(),
                message.getAgeMillis());
    }

    private static List<FeedChange> changesOf(FeedMessage message) {
        if (message.getCompressedChanges().isEmpty()) {
            return message.getChangesList();
        }
        try {
            return FeedChanges.parseFrom(Compression.decompress(message.getCompressedChanges()))
                    .getChangesList();
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalArgumentException("malformed changes", malformed);
        }
    }
}
