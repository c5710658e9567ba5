package baobabcroft.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.feed.proto.FeedMessage;
import baobabcroft.replica.FeedUpdate;
import baobabcroft.replica.KeyChange;
import baobabcroft.replica.StoreRevision;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FeedCodecTest {
    private final FeedEncoder encoder = new FeedEncoder();

    private static FeedUpdate update(String value) {
        return new FeedUpdate(
                new StoreRevision(3, 20),
                true,
                ImmutableList.of(
                        new KeyChange("a", Optional.of(ByteString.copyFromUtf8(value)), new StoreRevision(3, 18)),
                        new KeyChange("b", Optional.empty(), new StoreRevision(3, 19))),
                true,
                40);
    }

    @Nested
    class Updates {
        @Test
        void areEqualAfterEncodingAndDecoding() {
            for (String value : new String[] {"", "short", "long enough to be compressed. ".repeat(1_000)}) {
                assertEquals(update(value), FeedCodec.toUpdate(encoder.encode(update(value))));
            }
        }

        /** Guards against CONFIG: a large configuration is sent to each follower over one link. */
        @Test
        void takeAFractionOfALongRepetitiveValue() {
            String value = "{\"name\":\"route\",\"kind\":\"streaming\"},".repeat(1_000);

            assertTrue(encoder.encode(update(value)).getSerializedSize() < value.length() / 10);
        }
    }

    @Nested
    class MalformedMessages {
        @Test
        void areRejectedIfTheChangesAreNotCompressed() {
            FeedMessage message = FeedMessage.newBuilder()
                    .setCompressedChanges(ByteString.copyFromUtf8("plain"))
                    .build();

            assertThrows(IllegalArgumentException.class, () -> FeedCodec.toUpdate(message));
        }

        @Test
        void areRejectedIfTheChangesAreTooLong() {
            ByteString zeros = ByteString.copyFrom(new byte[33 << 20]);
            FeedMessage message = FeedMessage.newBuilder()
                    .setCompressedChanges(Compression.compress(zeros))
                    .build();

            assertThrows(IllegalArgumentException.class, () -> FeedCodec.toUpdate(message));
        }
    }
}
