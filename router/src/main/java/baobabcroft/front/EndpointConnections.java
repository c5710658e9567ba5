package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

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
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Connections to endpoints, kept for reuse for a short while. One request at a time on a connection.
 *
 * <p>Used on its event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes its channel, which is handled.
public final class EndpointConnections implements EndpointTransport {
    /** Longest wait for a connection, in milliseconds: several round trips between regions, under a lost packet's. */
    private static final int CONNECT_TIMEOUT_MILLIS = 600;

    private final EventLoop loop;
    private final BiPredicate<String, Headers> isAnswerTo;
    private final Predicate<EndpointRequest> needsFreshConnection;
    private final Map<String, Deque<EndpointConnection>> idle = new HashMap<>();

    /**
     * Creates a pool without connections.
     *
     * @param loop runs all channels
     * @param isAnswerTo whether an answer's headers belong to a request id
     * @param needsFreshConnection whether a request must not risk a connection that the endpoint may be closing
     */
    public EndpointConnections(
            EventLoop loop, BiPredicate<String, Headers> isAnswerTo, Predicate<EndpointRequest> needsFreshConnection) {
        this.loop = checkNotNull(loop);
        this.isAnswerTo = checkNotNull(isAnswerTo);
        this.needsFreshConnection = checkNotNull(needsFreshConnection);
    }

    @Override
    public Exchange send(EndpointEntry endpoint, EndpointRequest request, ExchangeListener listener) {
        PendingExchange exchange = new PendingExchange(request, listener);
        String key = keyOf(endpoint);
        EndpointConnection kept = needsFreshConnection.test(request) ? null : takeIdle(key);
        if (kept != null) {
            exchange.channel = kept.channel();
            kept.begin(exchange);
        } else {
            connect(endpoint, key, exchange);
        }
        return exchange;
    }

    /**
     * Closes the idle connections to an endpoint that is no longer listed.
     *
     * @param endpoint its last entry
     */
    public void closeIdle(EndpointEntry endpoint) {
        Deque<EndpointConnection> connections = idle.remove(keyOf(endpoint));
        if (connections != null) {
            connections.forEach(connection -> connection.channel().close());
        }
    }

    /**
     * Asks whether an endpoint accepts connections.
     *
     * @param endpoint the endpoint
     * @param then receives the answer on the event loop
     */
    public void probe(EndpointEntry endpoint, Consumer<Boolean> then) {
        ChannelFuture connecting = NettyChannels.client(loop, CONNECT_TIMEOUT_MILLIS, List::of)
                .connect(endpoint.address().getHost(), endpoint.address().getPort());
        connecting.addListener(done -> {
            connecting.channel().close();
            then.accept(done.isSuccess());
        });
    }

    private void connect(EndpointEntry endpoint, String key, PendingExchange exchange) {
        EndpointConnection connection = new EndpointConnection(isAnswerTo, kept -> putIdle(key, kept), this::forget);
        connection.key = key;
        Bootstrap bootstrap = NettyChannels.client(
                loop,
                CONNECT_TIMEOUT_MILLIS,
                () -> List.of(new HttpRequestEncoder(), EndpointConnection.decoder(), connection));
        ChannelFuture connecting = bootstrap.connect(
                endpoint.address().getHost(), endpoint.address().getPort());
        exchange.channel = connecting.channel();
        connecting.addListener(done -> {
            if (exchange.isOver()) {
                connecting.channel().close();
            } else if (done.isSuccess()) {
                connection.begin(exchange);
            } else {
                exchange.fail(
                        done.cause() instanceof ConnectTimeoutException
                                ? SendFailure.CONNECT_TIMEOUT
                                : SendFailure.CONNECTION_REFUSED);
            }
        });
    }

    private EndpointConnection takeIdle(String key) {
        Deque<EndpointConnection> connections = idle.get(key);
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
        idle.computeIfAbsent(key, unused -> new ArrayDeque<>()).addLast(connection);
    }

    private void forget(EndpointConnection connection) {
        Deque<EndpointConnection> connections = idle.get(connection.key);
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idle.remove(connection.key);
            }
        }
    }

    private static String keyOf(EndpointEntry endpoint) {
        return endpoint.id() + '@' + endpoint.address() + '#' + endpoint.startedAtEpochMillis();
    }

    /** A request under way on the network. */
    static final class PendingExchange implements Exchange {
        private final EndpointRequest request;
        private final ExchangeListener listener;
        private Channel channel;
        private boolean over;

        private PendingExchange(EndpointRequest request, ExchangeListener listener) {
            this.request = request;
            this.listener = listener;
        }

        EndpointRequest request() {
            return request;
        }

        ExchangeListener listener() {
            return listener;
        }

        boolean isOver() {
            return over;
        }

        void finish() {
            if (!over) {
                over = true;
                listener.onEnd();
            }
        }

        void fail(SendFailure failure) {
            if (!over) {
                over = true;
                listener.onFailure(failure);
            }
        }

        @Override
        public void cancel() {
            if (!over) {
                over = true;
                channel.close();
            }
        }
    }
}
