package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.EndpointRequest;
import baobabcroft.relay.EndpointTransport;
import baobabcroft.relay.ExchangeListener;
import baobabcroft.relay.Headers;
import baobabcroft.relay.SendFailure;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Pool of connections to endpoints. A connection carries one request at a time and is closed after a short idle time.
 *
 * <p>Not thread-safe: used on its event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
public final class EndpointConnectionPool implements EndpointTransport {
    /** Several round trips between regions, but less than the retransmission of a lost packet takes. */
    private static final int CONNECT_TIMEOUT_MILLIS = 600;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop loop;
    private final Scheduler readScheduler;
    private final BiPredicate<String, Headers> isResponseTo;
    private final Predicate<EndpointRequest> needsFreshConnection;
    private final ConnectionObserver observer;
    private final Map<String, Deque<EndpointConnection>> idleByKey = new HashMap<>();
    /** Requests whose connection is being opened. */
    private final Set<PendingExchange> connecting = new LinkedHashSet<>();

    /**
     * Creates an empty pool.
     *
     * @param loop event loop of all connections
     * @param readScheduler schedules the reads of answers that are read at intervals
     * @param isResponseTo whether the headers of a response belong to the request with the given id
     * @param needsFreshConnection whether a request must not use an idle connection, which the endpoint may be closing
     * @param observer notified of the connections
     */
    public EndpointConnectionPool(
            EventLoop loop,
            Scheduler readScheduler,
            BiPredicate<String, Headers> isResponseTo,
            Predicate<EndpointRequest> needsFreshConnection,
            ConnectionObserver observer) {
        this.loop = checkNotNull(loop);
        this.readScheduler = checkNotNull(readScheduler);
        this.isResponseTo = checkNotNull(isResponseTo);
        this.needsFreshConnection = checkNotNull(needsFreshConnection);
        this.observer = checkNotNull(observer);
    }

    @Override
    public Exchange send(EndpointEntry endpoint, EndpointRequest request, ExchangeListener listener) {
        PendingExchange exchange = new PendingExchange(request, listener);
        String key = endpoint.incarnation();
        EndpointConnection pooled = needsFreshConnection.test(request) ? null : takeIdle(key);
        if (pooled == null) {
            connect(endpoint, key, exchange);
        } else if (listener.confirmSend()) {
            pooled.send(exchange);
        } else {
            putIdle(key, pooled);
            loop.execute(() -> exchange.fail(SendFailure.ENDPOINT_UNAVAILABLE));
        }
        return exchange;
    }

    /**
     * Closes the idle connections to an endpoint whose entry was removed or replaced.
     *
     * @param endpoint last known entry of the endpoint
     */
    public void closeIdle(EndpointEntry endpoint) {
        Deque<EndpointConnection> connections = idleByKey.remove(endpoint.incarnation());
        if (connections != null) {
            connections.forEach(connection -> connection.channel().close());
        }
    }

    /** Fails all requests whose connection is still being opened. */
    public void abandonConnects() {
        List<PendingExchange> abandoned = List.copyOf(connecting);
        connecting.clear();
        abandoned.forEach(exchange -> {
            exchange.channel.close();
            exchange.fail(SendFailure.CONNECT_TIMEOUT);
        });
    }

    /**
     * Checks whether an endpoint accepts connections.
     *
     * @param endpoint the endpoint to connect to
     * @param callback receives the result on the event loop
     */
    public void probe(EndpointEntry endpoint, Consumer<Boolean> callback) {
        ChannelFuture connectFuture = NettyChannels.client(loop, CONNECT_TIMEOUT_MILLIS, List::of)
                .connect(endpoint.address().getHost(), endpoint.address().getPort());
        connectFuture.addListener(done -> {
            connectFuture.channel().close();
            callback.accept(done.isSuccess());
        });
    }

    private void connect(EndpointEntry endpoint, String key, PendingExchange exchange) {
        ExchangeListener listener = exchange.listener();
        EndpointConnection connection = new EndpointConnection(
                readScheduler,
                isResponseTo,
                pooled -> putIdle(key, pooled),
                this::onClosed,
                observer::onUnexpectedBytes);
        connection.poolKey = key;
        Bootstrap bootstrap = NettyChannels.client(loop, CONNECT_TIMEOUT_MILLIS, connection::handlers);
        ChannelFuture connectFuture = bootstrap.connect(
                endpoint.address().getHost(), endpoint.address().getPort());
        exchange.channel = connectFuture.channel();
        connecting.add(exchange);
        long startedAtNanos = System.nanoTime();
        connectFuture.addListener(done -> {
            connecting.remove(exchange);
            if (done.isSuccess()) {
                observer.onOpened(endpoint.failureDomain(), (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI);
            } else if (!exchange.isDone()) {
                observer.onFailed();
            }
            if (exchange.isDone()) {
                connectFuture.channel().close();
            } else if (done.isSuccess() && !listener.confirmSend()) {
                connectFuture.channel().close();
                exchange.fail(SendFailure.ENDPOINT_UNAVAILABLE);
            } else if (done.isSuccess()) {
                connection.send(exchange);
            } else {
                exchange.fail(
                        done.cause() instanceof ConnectTimeoutException
                                ? SendFailure.CONNECT_TIMEOUT
                                : SendFailure.CONNECTION_REFUSED);
            }
        });
    }

    private EndpointConnection takeIdle(String key) {
        Deque<EndpointConnection> connections = idleByKey.get(key);
        while (connections != null && !connections.isEmpty()) {
            EndpointConnection connection = connections.pollLast();
            if (connection.isReusable()) {
                return connection;
            }
            connection.channel().close();
        }
        return null;
    }

    private void putIdle(String key, EndpointConnection connection) {
        idleByKey.computeIfAbsent(key, unused -> new ArrayDeque<>()).addLast(connection);
    }

    private void onClosed(EndpointConnection connection) {
        if (connection.hasOpenExchange()) {
            observer.onFailed();
        }
        removeIdle(connection);
    }

    private void removeIdle(EndpointConnection connection) {
        Deque<EndpointConnection> connections = idleByKey.get(connection.poolKey);
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idleByKey.remove(connection.poolKey);
            }
        }
    }

    /** A request that has been sent, or waits for its connection, and has not completed. */
    static final class PendingExchange implements Exchange {
        private final EndpointRequest request;
        private final ExchangeListener listener;
        private Channel channel;
        private EndpointConnection connection;
        private boolean done;

        PendingExchange(EndpointRequest request, ExchangeListener listener) {
            this.request = request;
            this.listener = listener;
        }

        EndpointRequest request() {
            return request;
        }

        ExchangeListener listener() {
            return listener;
        }

        boolean isDone() {
            return done;
        }

        void complete() {
            if (!done) {
                done = true;
                listener.onEnd();
            }
        }

        void fail(SendFailure failure) {
            if (!done) {
                done = true;
                listener.onFailure(failure);
            }
        }

        /** Sets the connection that carries the request. */
        void sentOn(EndpointConnection carrier) {
            connection = carrier;
            channel = carrier.channel();
        }

        @Override
        public void readEvery(long intervalMillis) {
            if (!done && connection != null) {
                connection.readEvery(intervalMillis);
            }
        }

        @Override
        public void cancel() {
            if (!done) {
                done = true;
                channel.close();
            }
        }
    }
}
