package baobabcroft.fake;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.LeaseResult;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WatchListener;
import baobabcroft.external.WriteResult;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;

/** One caller's connection to a {@link FakeStore}; it can be cut off without the others. */
public final class FakeStoreClient implements KeyValueStore {
    private static final long DEFAULT_TIMEOUT_MILLIS = 500;

    private final FakeStore store;
    private final VirtualTime time;
    private final List<Watch> watches = new ArrayList<>();
    private Executor delivery = Runnable::run;
    private long timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
    private boolean disconnected;

    private static final class Watch {
        private final String prefix;
        private final WatchListener listener;
        private boolean connected;
        private long lastDeliveryAtMillis;

        private Watch(String prefix, WatchListener listener, boolean connected) {
            this.prefix = prefix;
            this.listener = listener;
            this.connected = connected;
        }
    }

    FakeStoreClient(FakeStore store, VirtualTime time) {
        this.store = store;
        this.time = time;
    }

    /** Cuts this client off, or reconnects it. Packets are dropped: calls end by timeout, replies on their way too. */
    public void setDisconnected(boolean nowCut) {
        disconnected = nowCut;
        onReachabilityChanged();
    }

    /** Returns whether this client is cut off. */
    public boolean isDisconnected() {
        return disconnected;
    }

    /** Sets how long a call waits for its reply. */
    public void setTimeoutMillis(long millis) {
        timeoutMillis = millis;
    }

    /** Sets what runs replies and watch events, so that a test can hold or drop them as a frozen process would. */
    public void setDeliveryExecutor(Executor executor) {
        delivery = checkNotNull(executor);
    }

    @Override
    public CompletionStage<ReadResult> read(String key) {
        checkNotNull(key);
        return readCall(
                () -> new ReadResult.Found(store.peek(key).map(List::of).orElseGet(List::of), store.revision()));
    }

    @Override
    public CompletionStage<ReadResult> list(String prefix) {
        checkNotNull(prefix);
        return readCall(() -> new ReadResult.Found(store.peekAll(prefix), store.revision()));
    }

    @Override
    public CompletionStage<WriteResult> compareAndSwap(
            String key, long expectedRevision, ByteString value, OptionalLong leaseId) {
        checkNotNull(key);
        checkNotNull(value);
        return writeCall(() -> store.applySwap(key, expectedRevision, value, leaseId));
    }

    @Override
    public CompletionStage<WriteResult> compareAndDelete(String key, long expectedRevision) {
        checkNotNull(key);
        return writeCall(() -> store.applyDelete(key, expectedRevision));
    }

    @Override
    public CompletionStage<LeaseResult> grantLease(long ttlMillis) {
        return leaseCall(() -> new LeaseResult.Held(store.grant(ttlMillis), ttlMillis));
    }

    @Override
    public CompletionStage<LeaseResult> renewLease(long leaseId) {
        return leaseCall(() -> {
            OptionalLong ttlMillis = store.renew(leaseId);
            return ttlMillis.isPresent()
                    ? new LeaseResult.Held(leaseId, ttlMillis.getAsLong())
                    : new LeaseResult.NotFound();
        });
    }

    @Override
    public CompletionStage<LeaseResult> revokeLease(long leaseId) {
        return leaseCall(() -> {
            store.expireLease(leaseId);
            return new LeaseResult.NotFound();
        });
    }

    @Override
    public AutoCloseable watch(String prefix, WatchListener listener) {
        Watch watch = new Watch(checkNotNull(prefix), checkNotNull(listener), reachable());
        store.countWatch();
        watches.add(watch);
        return () -> watches.remove(watch);
    }

    @Override
    public void close() {
        watches.clear();
    }

    void onReachabilityChanged() {
        List.copyOf(watches).forEach(this::updateConnection);
    }

    void onChange(String key, Optional<Versioned> entry, long revision) {
        for (Watch watch : List.copyOf(watches)) {
            if (watch.connected && key.startsWith(watch.prefix)) {
                deliver(watch, () -> notifyChange(watch, key, entry, revision));
            }
        }
    }

    private static void notifyChange(Watch watch, String key, Optional<Versioned> entry, long revision) {
        if (entry.isPresent()) {
            watch.listener.onPut(entry.get());
        } else {
            watch.listener.onDelete(key, revision);
        }
    }

    private void updateConnection(Watch watch) {
        if (watch.connected == reachable()) {
            return;
        }
        watch.connected = reachable();
        if (watch.connected) {
            deliver(watch, watch.listener::onGap);
        } else {
            deliver(watch, () -> watch.listener.onDisconnected("connection lost"));
        }
    }

    private void deliver(Watch watch, Runnable event) {
        long atMillis = Math.max(watch.lastDeliveryAtMillis, time.nowMillis() + halfLatencyMillis());
        watch.lastDeliveryAtMillis = atMillis;
        time.scheduler()
                .schedule(
                        atMillis - time.nowMillis(),
                        () -> delivery.execute(() -> {
                            if (watches.contains(watch)) {
                                event.run();
                            }
                        }));
    }

    private boolean reachable() {
        return !disconnected && !store.isDown();
    }

    private long halfLatencyMillis() {
        return store.latencyMillis() / 2;
    }

    private CompletionStage<ReadResult> readCall(Supplier<ReadResult> effect) {
        return call(0, false, store::countRead, effect, ReadResult.Unavailable::new, ReadResult.Unavailable::new);
    }

    private CompletionStage<WriteResult> writeCall(Supplier<WriteResult> effect) {
        return call(
                store.takeWriteDelayMillis(),
                true,
                store::countWrite,
                effect,
                WriteResult.Unknown::new,
                WriteResult.Unavailable::new);
    }

    private CompletionStage<LeaseResult> leaseCall(Supplier<LeaseResult> effect) {
        return call(0, false, store::countWrite, effect, LeaseResult.Unavailable::new, LeaseResult.Unavailable::new);
    }

    private <T> CompletionStage<T> call(
            long delayMillis,
            boolean replyMayBeLost,
            Runnable count,
            Supplier<T> effect,
            Function<String, T> onTimeout,
            Function<String, T> onRefused) {
        CompletableFuture<T> reply = new CompletableFuture<>();
        if (!disconnected && store.isDown()) {
            later(halfLatencyMillis(), () -> complete(reply, onRefused.apply("connection refused")));
            return reply;
        }
        later(timeoutMillis, () -> complete(reply, onTimeout.apply("timeout")));
        if (disconnected) {
            return reply;
        }
        later(delayMillis + halfLatencyMillis(), () -> {
            if (store.isDown()) {
                complete(reply, onTimeout.apply("connection reset"));
                return;
            }
            count.run();
            T result = effect.get();
            boolean lost = replyMayBeLost && store.takeLostReply();
            later(halfLatencyMillis(), () -> {
                if (disconnected) {
                    return;
                }
                complete(reply, lost ? onTimeout.apply("connection reset") : result);
            });
        });
        return reply;
    }

    private void later(long delayMillis, Runnable task) {
        time.scheduler().schedule(delayMillis, task);
    }

    private <T> void complete(CompletableFuture<T> reply, T result) {
        delivery.execute(() -> reply.complete(result));
    }
}
