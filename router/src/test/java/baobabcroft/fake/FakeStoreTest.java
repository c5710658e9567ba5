package baobabcroft.fake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.ReadResult;
import baobabcroft.external.WriteResult;
import com.google.protobuf.ByteString;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FakeStoreTest {
    private static final ByteString ONE = ByteString.copyFromUtf8("one");
    private static final ByteString TWO = ByteString.copyFromUtf8("two");

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final FakeStoreClient client = store.connect();

    private CompletionStage<WriteResult> swap(KeyValueStore from, long expectedRevision, ByteString value) {
        return from.compareAndSwap("k", expectedRevision, value, OptionalLong.empty());
    }

    private <T> T settled(CompletionStage<T> stage) {
        time.advance(10_000);
        return stage.toCompletableFuture().join();
    }

    @Nested
    class Writes {
        @Test
        void conflictShowsTheCurrentValue() {
            settled(swap(client, KeyValueStore.ABSENT, ONE));
            WriteResult second = settled(swap(client, KeyValueStore.ABSENT, TWO));
            assertEquals(
                    ONE,
                    assertInstanceOf(WriteResult.Conflict.class, second)
                            .current()
                            .orElseThrow()
                            .value());
        }

        @Test
        void lostReplyLeavesTheEffect() {
            store.loseReplies(1);
            assertInstanceOf(WriteResult.Unknown.class, settled(swap(client, KeyValueStore.ABSENT, ONE)));
            assertEquals(ONE, store.peek("k").orElseThrow().value());
        }

        @Test
        void delayedWriteIsPassedByALaterOne() {
            store.delayWrites(1, 2_000);
            CompletionStage<WriteResult> late = swap(client, KeyValueStore.ABSENT, ONE);
            time.advance(1_000);
            assertInstanceOf(
                    WriteResult.Unknown.class, late.toCompletableFuture().join());
            swap(client, KeyValueStore.ABSENT, TWO);
            time.advance(5_000);
            assertEquals(TWO, store.peek("k").orElseThrow().value());
        }

        @Test
        void stoppedStoreRefusesWithoutEffect() {
            store.setDown(true);
            assertInstanceOf(WriteResult.Unavailable.class, settled(swap(client, KeyValueStore.ABSENT, ONE)));
            assertTrue(store.peek("k").isEmpty());
        }
    }

    @Nested
    class Connections {
        @Test
        void cutClientIsAloneInGettingNoReply() {
            client.setDisconnected(true);
            CompletionStage<ReadResult> cutRead = client.read("k");
            assertInstanceOf(ReadResult.Found.class, settled(store.connect().read("k")));
            assertInstanceOf(ReadResult.Unavailable.class, settled(cutRead));
        }
    }

    @Nested
    class Leases {
        @Test
        void keysGoWithTheirLease() {
            client.grantLease(1_000);
            time.advance(10);
            client.compareAndSwap("k", KeyValueStore.ABSENT, ONE, OptionalLong.of(1));
            time.advance(500);
            assertTrue(store.peek("k").isPresent());
            time.advance(1_000);
            assertTrue(store.peek("k").isEmpty());
        }
    }
}
