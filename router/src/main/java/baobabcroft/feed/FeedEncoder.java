package baobabcroft.feed;

import baobabcroft.feed.proto.FeedChanges;
import baobabcroft.feed.proto.FeedMessage;
import baobabcroft.replica.FeedUpdate;
import baobabcroft.replica.KeyChange;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.MapMaker;
import com.google.protobuf.ByteString;
import java.util.concurrent.ConcurrentMap;

/**
 * Converts updates to messages. Long changes are compressed, once for all followers that receive the same ones. Not
 * thread-safe.
 */
final class FeedEncoder {
    /** Changes below this length are not worth the processor time. */
    private static final int MIN_COMPRESSED_BYTES = 2_048;

    /** By identity of the list of changes. */
    private final ConcurrentMap<ImmutableList<KeyChange>, FeedMessage> encodedChanges =
            new MapMaker().weakKeys().makeMap();

    FeedMessage encode(FeedUpdate update) {
        FeedMessage.Builder message = encodedChanges.computeIfAbsent(update.changes(), FeedEncoder::encode).toBuilder();
        return message.setEra(update.position().era())
                .setRevision(update.position().number())
                .setComplete(update.complete())
                .setContact(update.contact())
                .setAgeMillis(update.ageMillis())
                .build();
    }

    private static FeedMessage encode(ImmutableList<KeyChange> changes) {
        FeedChanges.Builder list = FeedChanges.newBuilder();
        changes.forEach(change -> list.addChanges(FeedCodec.toMessage(change)));
        ByteString plain = list.build().toByteString();
        ByteString compressed = plain.size() < MIN_COMPRESSED_BYTES ? plain : Compression.compress(plain);
        return compressed.size() < plain.size()
                ? FeedMessage.newBuilder().setCompressedChanges(compressed).build()
                : FeedMessage.newBuilder().addAllChanges(list.getChangesList()).build();
    }
}
