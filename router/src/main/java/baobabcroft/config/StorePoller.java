package baobabcroft.config;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WatchListener;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Receives changes from the store by a watch, and by reads that also renew authority. Confined to its executor. */
final class StorePoller {
    private static final EventLog LOG = EventLog.of(StorePoller.class);
    private static final int MAX_READS_IN_FLIGHT = 4;

    private final ConfigContext context;
    private final ConfigState state;
    private final Executor executor;
    private final Consumer<ConfigDocument> onDocument;
    private int readsInFlight;
    private boolean restoring;

    /** Result of one successful read. */
    private record ReadState(long sentNanos, long appliedWhenSent, Optional<Versioned> entry) {}

    StorePoller(ConfigContext context, ConfigState state, Executor executor, Consumer<ConfigDocument> onDocument) {
        this.context = context;
        this.state = state;
        this.executor = executor;
        this.onDocument = onDocument;
    }

    AutoCloseable watch() {
        return context.store().watch(ConfigKeys.CURRENT, new WatchListener() {
            @Override
            public void onPut(Versioned entry) {
                executor.execute(() -> document(entry).ifPresent(onDocument));
            }

            @Override
            public void onDelete(String key, long revision) {
                LOG.log(LogEvent.CONFIG_KEY_DELETED, key);
            }

            @Override
            public void onGap() {
                executor.execute(StorePoller.this::read);
            }

            @Override
            public void onDisconnected(String reason) {
                LOG.log(LogEvent.CONFIG_WATCH_DISCONNECTED, reason);
            }
        });
    }

    void read() {
        if (readsInFlight >= MAX_READS_IN_FLIGHT) {
            return;
        }
        readsInFlight++;
        long sentNanos = context.ticker().read();
        long appliedWhenSent = state.number();
        context.store()
                .read(ConfigKeys.CURRENT)
                .thenAcceptAsync(result -> onReadResult(sentNanos, appliedWhenSent, result), executor);
    }

    private void onReadResult(long sentNanos, long appliedWhenSent, ReadResult result) {
        readsInFlight--;
        if (!(result instanceof ReadResult.Found found)) {
            return;
        }
        Optional<Versioned> entry = found.entries().stream().findFirst();
        Optional<ConfigDocument> document = entry.flatMap(StorePoller::document);
        if (entry.isPresent() && document.isEmpty()) {
            LOG.log(LogEvent.RECORD_UNREADABLE, ConfigKeys.CURRENT);
            return;
        }
        document.ifPresent(onDocument);
        long number = document.map(ConfigDocument::number).orElse(0L);
        state.authority().recordStoreRead(sentNanos, appliedWhenSent, number);
        state.refreshGrant();
        if (number < appliedWhenSent) {
            restore(new ReadState(sentNanos, appliedWhenSent, entry));
        }
    }

    /** Writes the applied document to a store that has lost it, for example after a restore from a backup. */
    private void restore(ReadState read) {
        Optional<AppliedConfig> applied = state.current();
        if (restoring || applied.isEmpty()) {
            return;
        }
        restoring = true;
        LOG.log(LogEvent.CONFIG_LOST_BY_STORE, read.appliedWhenSent());
        long revision = read.entry().map(Versioned::revision).orElse(KeyValueStore.ABSENT);
        context.store()
                .compareAndSwap(
                        ConfigKeys.CURRENT, revision, applied.get().document().toBytes(), OptionalLong.empty())
                .thenAcceptAsync(result -> restoring = false, executor);
    }

    private static Optional<ConfigDocument> document(Versioned entry) {
        return ConfigDocument.fromBytes(entry.value());
    }
}
