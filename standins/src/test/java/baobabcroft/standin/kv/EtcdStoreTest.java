package baobabcroft.standin.kv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import baobabcroft.common.Scheduler;
import baobabcroft.external.KeyValueStore;
import baobabcroft.external.LeaseResult;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WatchListener;
import baobabcroft.external.WriteResult;
import baobabcroft.external.etcd.EtcdStore;
import com.google.protobuf.ByteString;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EtcdStoreTest {
    private static final long LIMIT_SECONDS = 20;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final ByteString ONE = ByteString.copyFromUtf8("one");
    private static final ByteString TWO = ByteString.copyFromUtf8("two");

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    private KeyValueStandin standin;
    private KeyValueStore store;

    @BeforeEach
    void start() {
        standin = KeyValueStandin.start(0);
        store = storeAt(TIMEOUT_MILLIS, standin.uri());
    }

    @AfterEach
    void stop() {
        store.close();
        standin.close();
        executor.shutdownNow();
    }

    private EtcdStore storeAt(long timeoutMillis, URI... urls) {
        return EtcdStore.create(List.of(urls), timeoutMillis, Scheduler.onExecutor(executor), () -> 0);
    }

    private static <T> T get(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private WriteResult write(String key, long expected, ByteString value) throws Exception {
        return get(store.compareAndSwap(key, expected, value, OptionalLong.empty()));
    }

    private long written(String key, long expected, ByteString value) throws Exception {
        return assertInstanceOf(WriteResult.Done.class, write(key, expected, value))
                .revision();
    }

    private List<Versioned> read(String key) throws Exception {
        return assertInstanceOf(ReadResult.Found.class, get(store.read(key))).entries();
    }

    @Nested
    class CompareAndSwap {
        @Test
        void createsAnAbsentKeyAndReportsItsRevision() throws Exception {
            long revision = written("a/1", KeyValueStore.ABSENT, ONE);
            assertEquals(List.of(new Versioned("a/1", ONE, revision)), read("a/1"));
        }

        @Test
        void reportsTheCurrentEntryOnConflictAndWritesNothing() throws Exception {
            long revision = written("a", KeyValueStore.ABSENT, ONE);
            WriteResult second = write("a", KeyValueStore.ABSENT, TWO);
            assertEquals(new WriteResult.Conflict(Optional.of(new Versioned("a", ONE, revision))), second);
            assertEquals(ONE, read("a").get(0).value());
        }

        @Test
        void reportsAnAbsentKeyOnConflict() throws Exception {
            assertEquals(new WriteResult.Conflict(Optional.empty()), write("a", 7, TWO));
        }

        @Test
        void isUnknownWhenTheResponseIsLostAfterTheWrite() throws Exception {
            standin.loseReplies(1);
            assertInstanceOf(WriteResult.Unknown.class, write("a", KeyValueStore.ABSENT, ONE));
            assertEquals(ONE, read("a").get(0).value());
        }

        @Test
        void isUnknownWhenTheServiceRespondsWithAServerError() throws Exception {
            standin.unavailable();
            assertInstanceOf(WriteResult.Unknown.class, write("a", KeyValueStore.ABSENT, ONE));
        }

        @Test
        void isUnknownWhenTheResponseTimesOut() throws Exception {
            standin.setDelayMillis(TIMEOUT_MILLIS);
            try (KeyValueStore shortTimeout = storeAt(100, standin.uri())) {
                WriteResult result = get(shortTimeout.compareAndSwap("a", 0, ONE, OptionalLong.empty()));
                assertInstanceOf(WriteResult.Unknown.class, result);
            }
        }

        @Test
        void isUnavailableWhenConnectionsAreRefused() throws Exception {
            standin.refuseConnections();
            assertInstanceOf(WriteResult.Unavailable.class, write("a", KeyValueStore.ABSENT, ONE));
            standin.acceptConnections();
            assertEquals(List.of(), read("a"));
        }

        @Test
        void isUnavailableWhenTheLeaseIsUnknown() throws Exception {
            WriteResult result = get(store.compareAndSwap("a", 0, ONE, OptionalLong.of(99)));
            assertInstanceOf(WriteResult.Unavailable.class, result);
        }

        @Test
        void rejectsAValueOverOneMebibyte() {
            ByteString tooLarge = ByteString.copyFrom(new byte[EtcdStore.MAX_VALUE_BYTES + 1]);
            assertThrows(IllegalArgumentException.class, () -> write("a", 0, tooLarge));
        }

        @Test
        void acceptsAValueOfOneMebibyte() throws Exception {
            ByteString large = ByteString.copyFrom(new byte[EtcdStore.MAX_VALUE_BYTES]);
            written("a", KeyValueStore.ABSENT, large);
            assertEquals(large, read("a").get(0).value());
        }

        @Test
        void deletesOnlyAtTheExpectedRevision() throws Exception {
            long revision = written("a", KeyValueStore.ABSENT, ONE);
            assertInstanceOf(WriteResult.Conflict.class, get(store.compareAndDelete("a", revision + 1)));
            assertInstanceOf(WriteResult.Done.class, get(store.compareAndDelete("a", revision)));
            assertEquals(List.of(), read("a"));
        }
    }

    @Nested
    class Reads {
        @Test
        void listTheKeysOfAPrefixInOrder() throws Exception {
            for (String key : List.of("a/2", "a/1", "a0", "b")) {
                written(key, KeyValueStore.ABSENT, ONE);
            }
            List<Versioned> found = assertInstanceOf(ReadResult.Found.class, get(store.list("a/")))
                    .entries();
            assertEquals(
                    List.of("a/1", "a/2"), found.stream().map(Versioned::key).toList());
        }

        @Test
        void areUnavailableWhileTheServiceIsDown() throws Exception {
            standin.down();
            assertInstanceOf(ReadResult.Unavailable.class, get(store.read("a")));
            standin.unavailable();
            assertInstanceOf(ReadResult.Unavailable.class, get(store.read("a")));
        }

        @Test
        void failOverWhenAnAddressRefusesConnections() throws Exception {
            written("a", KeyValueStore.ABSENT, ONE);
            try (KeyValueStandin second = KeyValueStandin.start(0);
                    KeyValueStore both = storeAt(TIMEOUT_MILLIS, second.uri(), standin.uri())) {
                second.refuseConnections();
                assertEquals(
                        1,
                        assertInstanceOf(ReadResult.Found.class, get(both.read("a")))
                                .entries()
                                .size());
            }
        }
    }

    @Nested
    class Leases {
        private long grant() throws Exception {
            return assertInstanceOf(LeaseResult.Held.class, get(store.grantLease(60_000)))
                    .leaseId();
        }

        @Test
        void deleteTheirKeysWhenTheyExpire() throws Exception {
            long lease = grant();
            get(store.compareAndSwap("a", 0, ONE, OptionalLong.of(lease)));
            assertEquals(new LeaseResult.Held(lease, 60_000), get(store.renewLease(lease)));
            standin.expireLeases();
            assertEquals(new LeaseResult.NotFound(), get(store.renewLease(lease)));
            assertEquals(List.of(), read("a"));
        }

        @Test
        void doNotExistOnceRevoked() throws Exception {
            long lease = grant();
            assertEquals(new LeaseResult.NotFound(), get(store.revokeLease(lease)));
            assertEquals(new LeaseResult.NotFound(), get(store.revokeLease(lease)));
        }

        @Test
        void areUnavailableWhileTheServiceIsDown() throws Exception {
            long lease = grant();
            standin.down();
            assertInstanceOf(LeaseResult.Unavailable.class, get(store.renewLease(lease)));
        }
    }

    @Nested
    class Watches {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        private final WatchListener listener = new WatchListener() {
            @Override
            public void onPut(Versioned entry) {
                events.add("put " + entry.key() + " " + entry.value().toStringUtf8());
            }

            @Override
            public void onDelete(String key, long revision) {
                events.add("delete " + key);
            }

            @Override
            public void onGap() {
                events.add("gap");
            }

            @Override
            public void onDisconnected(String reason) {
                events.add("disconnected");
            }
        };

        private List<String> next(int count) throws Exception {
            List<String> next = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String event = events.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
                assertNotNull(event, "no event within the time limit");
                next.add(event);
            }
            return next;
        }

        private String nextAfterDisconnections() throws Exception {
            String next = next(1).get(0);
            while (next.equals("disconnected")) {
                next = next(1).get(0);
            }
            return next;
        }

        @Test
        void reportChangesOfTheirPrefixInOrder() throws Exception {
            store.watch("a/", listener);
            assertEquals(List.of("gap"), next(1));
            long revision = written("a/1", 0, ONE);
            written("b", 0, ONE);
            get(store.compareAndDelete("a/1", revision));
            assertEquals(List.of("put a/1 one", "delete a/1"), next(2));
        }

        @Test
        void reportAGapAfterAReconnectionAndContinue() throws Exception {
            // Uses a separate client: the other one's pooled connection is also cut and could be used for the
            // reconnection.
            try (EtcdStore watching = storeAt(TIMEOUT_MILLIS, standin.uri())) {
                watching.watch("a/", listener);
                next(1);
                written("a/1", 0, ONE);
                next(1);
                standin.abortConnections();
                assertEquals(List.of("disconnected", "gap"), next(2));
                written("a/2", 0, TWO);
                assertEquals(List.of("put a/2 two"), next(1));
            }
        }

        @Test
        void resumeWithTheChangesMissedWhileDisconnected() throws Exception {
            store.watch("a/", listener);
            next(1);
            written("a/1", 0, ONE);
            next(1);
            standin.refuseConnections();
            assertEquals(List.of("disconnected"), next(1));
            standin.putDirectly("a/2", "two");
            standin.acceptConnections();
            assertEquals("gap", nextAfterDisconnections());
            assertEquals(List.of("put a/2 two"), next(1));
        }

        @Test
        void reportAGapWhenTheMissedChangesAreCompacted() throws Exception {
            store.watch("a/", listener);
            next(1);
            written("a/1", 0, ONE);
            next(1);
            standin.refuseConnections();
            standin.putDirectly("a/2", "two");
            standin.compact();
            standin.acceptConnections();
            assertEquals("gap", nextAfterDisconnections());
            assertEquals(List.of("disconnected", "gap"), next(2));
            written("a/3", 0, TWO);
            assertEquals(List.of("put a/3 two"), next(1));
        }

        @Test
        void redeliverAChangeThatTheListenerFailedOn() throws Exception {
            AtomicBoolean failed = new AtomicBoolean();
            store.watch("a/", new ForwardingListener(listener) {
                @Override
                public void onPut(Versioned entry) {
                    if (failed.compareAndSet(false, true)) {
                        throw new IllegalStateException("the listener fails once");
                    }
                    super.onPut(entry);
                }
            });
            next(1);
            written("a/1", 0, ONE);
            assertEquals(List.of("disconnected", "gap", "put a/1 one"), next(3));
        }

        @Test
        void useOneCallAndEndWhenClosed() throws Exception {
            AutoCloseable watch = store.watch("a/", listener);
            next(1);
            assertEquals(1, standin.calls(CallKind.WATCH));
            assertEquals(1, standin.openWatches());
            watch.close();
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
            while (standin.openWatches() > 0 && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertEquals(0, standin.openWatches());
        }
    }

    private static class ForwardingListener implements WatchListener {
        private final WatchListener delegate;

        ForwardingListener(WatchListener delegate) {
            this.delegate = delegate;
        }

        @Override
        public void onPut(Versioned entry) {
            delegate.onPut(entry);
        }

        @Override
        public void onDelete(String key, long revision) {
            delegate.onDelete(key, revision);
        }

        @Override
        public void onGap() {
            delegate.onGap();
        }

        @Override
        public void onDisconnected(String reason) {
            delegate.onDisconnected(reason);
        }
    }
}
