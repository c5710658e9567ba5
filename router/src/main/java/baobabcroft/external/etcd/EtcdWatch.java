package baobabcroft.external.etcd;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.external.WatchListener;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.util.concurrent.MoreExecutors;
import com.google.protobuf.ByteString;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.DoubleSupplier;

/**
 * A watch that reconnects after each failure and resumes at the revision after the last one that it received.
 *
 * <p>A connection that delivers no message within the idle timeout counts as dead. All state is confined to a
 * sequential executor, which also calls the listener.
 */
final class EtcdWatch implements AutoCloseable {
    private static final long INITIAL_DELAY_MILLIS = 100;
    private static final long MAX_DELAY_MILLIS = 5_000;
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int MAX_DOUBLINGS = 6;

    private final EtcdClient client;
    private final DoubleSupplier random;
    private final ByteString key;
    private final ByteString rangeEnd;
    private final WatchListener listener;
    private final Executor sequential;
    private volatile boolean closed;

    private Connection connection;
    private long nextRevision;
    private int consecutiveFailures;

    EtcdWatch(EtcdClient client, DoubleSupplier random, ByteString key, ByteString rangeEnd, WatchListener listener) {
        this.client = client;
        this.random = random;
        this.key = key;
        this.rangeEnd = rangeEnd;
        this.listener = checkNotNull(listener);
        this.sequential = MoreExecutors.newSequentialExecutor(client.executor());
    }

    void open() {
        execute(this::connect);
    }

    private void execute(Runnable step) {
        try {
            sequential.execute(() -> {
                if (!closed) {
                    step.run();
                }
            });
        } catch (RejectedExecutionException e) {
            // The client was closed, which closes all its watches.
            closed = true;
        }
    }

    private void connect() {
        EtcdMessages.WatchRequest request =
                new EtcdMessages.WatchRequest(new EtcdMessages.WatchCreateRequest(key, rangeEnd, nextRevision));
        Connection opened = new Connection();
        connection = opened;
        opened.restartIdleTimer();
        try {
            opened.exchange = client.stream("/v3/watch", request, opened::subscriberFor);
        } catch (RejectedExecutionException e) {
            disconnected(opened, "the client is stopping");
            return;
        }
        var unused = opened.exchange.whenComplete(
                (response, failure) -> execute(() -> disconnected(opened, reasonOf(response, failure))));
    }

    private static String reasonOf(HttpResponse<Void> response, Throwable failure) {
        return failure == null ? "watch ended with HTTP " + response.statusCode() : String.valueOf(failure);
    }

    private void disconnected(Connection ended, String reason) {
        if (ended != connection) {
            return;
        }
        connection = null;
        ended.close();
        client.preferNextAddress();
        client.scheduler().schedule(delayMillis(), () -> execute(this::connect));
        consecutiveFailures++;
        listener.onDisconnected(reason);
    }

    private long delayMillis() {
        long limitMillis =
                Math.min(MAX_DELAY_MILLIS, INITIAL_DELAY_MILLIS << Math.min(consecutiveFailures, MAX_DOUBLINGS));
        return (long) (random.getAsDouble() * limitMillis);
    }

    private void handleLine(Connection source, String line) {
        if (source != connection || line.isEmpty()) {
            return;
        }
        source.restartIdleTimer();
        try {
            EtcdMessages.WatchResponse message =
                    EtcdJson.read(line, EtcdMessages.WatchLine.class).result();
            if (message == null) {
                disconnected(source, "watch rejected: " + line);
                return;
            }
            handleMessage(source, message);
        } catch (JsonProcessingException e) {
            disconnected(source, "invalid line: " + e.getOriginalMessage());
        } catch (RuntimeException e) {
            disconnected(source, "listener failed: " + e);
        }
    }

    private void handleMessage(Connection source, EtcdMessages.WatchResponse message) {
        if (message.canceled()) {
            nextRevision = 0;
            disconnected(source, "watch canceled, compacted at " + message.compactRevision());
            return;
        }
        if (message.created()) {
            established(message.header().revision());
        }
        message.events().forEach(this::notifyListener);
        message.events().forEach(event -> nextRevision = event.kv().modRevision() + 1);
    }

    private void established(long storeRevision) {
        consecutiveFailures = 0;
        if (nextRevision == 0) {
            nextRevision = storeRevision + 1;
        }
        listener.onGap();
    }

    private void notifyListener(EtcdMessages.Event event) {
        EtcdMessages.KeyValue entry = event.kv();
        if (event.type() == EtcdMessages.EventType.DELETE) {
            listener.onDelete(entry.key().toStringUtf8(), entry.modRevision());
        } else {
            listener.onPut(EtcdStore.versioned(entry));
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            sequential.execute(() -> {
                if (connection != null) {
                    connection.close();
                    connection = null;
                }
            });
        } catch (RejectedExecutionException e) {
            // The client is already closed, which closes its connections.
            return;
        }
    }

    /** One connection of the watch. */
    private final class Connection implements Flow.Subscriber<String> {
        private CompletableFuture<HttpResponse<Void>> exchange = new CompletableFuture<>();
        private Scheduler.Cancellable idleTimer = () -> {};

        HttpResponse.BodySubscriber<Void> subscriberFor(HttpResponse.ResponseInfo info) {
            return info.statusCode() == 200
                    ? HttpResponse.BodySubscribers.fromLineSubscriber(
                            this, subscriber -> null, StandardCharsets.UTF_8, "\n")
                    : HttpResponse.BodySubscribers.replacing(null);
        }

        void restartIdleTimer() {
            idleTimer.cancel();
            idleTimer = client.scheduler()
                    .schedule(
                            IDLE_TIMEOUT_MILLIS,
                            () -> execute(() -> disconnected(this, "no message within the idle timeout")));
        }

        void close() {
            idleTimer.cancel();
            exchange.cancel(true);
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscription.request(Long.MAX_VALUE);
        }

        @Override
        public void onNext(String line) {
            execute(() -> handleLine(this, line));
        }

        @Override
        public void onError(Throwable failure) {
            execute(() -> disconnected(this, String.valueOf(failure)));
        }

        @Override
        public void onComplete() {
            execute(() -> disconnected(this, "watch ended"));
        }
    }
}
