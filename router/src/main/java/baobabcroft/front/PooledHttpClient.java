package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.relay.Headers;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP client for short calls to one server over pooled connections. Responses are aggregated before they are returned.
 *
 * <p>Each call ends in exactly one {@link Result}. A connection that failed or timed out is never reused. Not
 * thread-safe: used on its event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
public final class PooledHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Enough for one page of the store with its JSON encoding. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private static final int MAX_IDLE_CONNECTIONS = 2;
    /** Longest time of a call, as a multiple of the longest silence, for a server that sends a little at a time. */
    private static final int MAX_CALL_SILENCES = 10;

    private static final byte[] NO_BODY = {};

    private final EventLoop eventLoop;
    private final HostAndPort server;
    private final Deque<Connection> idleConnections = new ArrayDeque<>();

    /**
     * Creates a client without connections.
     *
     * @param eventLoop event loop of all connections
     * @param server address of the server
     */
    public PooledHttpClient(EventLoop eventLoop, HostAndPort server) {
        this.eventLoop = checkNotNull(eventLoop);
        this.server = checkNotNull(server);
    }

    /** Result of a call. */
    public sealed interface Result {
        /**
         * The server responded.
         *
         * @param status HTTP status
         * @param headers response headers
         * @param body response body, may be empty
         */
        @SuppressWarnings("ArrayRecordComponent")
        record Response(int status, Headers headers, byte[] body) implements Result {}

        /**
         * No valid response was received.
         *
         * @param sent whether the request may have reached the server and been executed
         * @param reason cause of the failure, for logs
         */
        record Failure(boolean sent, String reason) implements Result {}

        /**
         * The server responded with a longer body than wanted, which was not received.
         *
         * @param bodyBytes length that the response stated, in bytes
         */
        record TooLarge(long bodyBytes) implements Result {}
    }

    /**
     * Sends a GET request, on an idle connection if there is one. Only for calls whose result may be that of an earlier
     * equal call: responses carry no id, so a second copy of a response would be taken for that of the next request.
     *
     * @param target request target: path and query
     * @param silenceMillis longest time after connecting in which nothing is received, in milliseconds
     * @param maxBodyBytes length beyond which a body is not received, in bytes
     * @param callback receives the result on the event loop, never before this method has returned
     */
    public void get(String target, long silenceMillis, long maxBodyBytes, Consumer<Result> callback) {
        Connection pooled = idleConnections.pollLast();
        while (pooled != null && !pooled.channel.isActive()) {
            pooled = idleConnections.pollLast();
        }
        Call call = new Call(request("GET", target, NO_BODY), silenceMillis, maxBodyBytes, callback);
        if (pooled != null) {
            pooled.send(call);
        } else {
            connect(new Connection(true), call);
        }
    }

    /**
     * Sends a request on a connection of its own, which is closed after the response.
     *
     * @param method HTTP method
     * @param target request target: path and query
     * @param body JSON document, or empty for none
     * @param silenceMillis longest time after connecting in which nothing is received, in milliseconds
     * @param callback receives the result on the event loop, never before this method has returned
     */
    public void callAlone(String method, String target, byte[] body, long silenceMillis, Consumer<Result> callback) {
        DefaultFullHttpRequest request = request(method, target, body);
        request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        connect(new Connection(false), new Call(request, silenceMillis, MAX_RESPONSE_BYTES, callback));
    }

    private record Call(
            DefaultFullHttpRequest request, long silenceMillis, long maxBodyBytes, Consumer<Result> callback) {}

    private void connect(Connection connection, Call call) {
        NettyChannels.client(
                        eventLoop,
                        CONNECT_TIMEOUT_MILLIS,
                        () -> List.of(
                                new UnexpectedBytesFilter(connection::hasCall, bytes -> connection.close()),
                                new HttpRequestEncoder(),
                                connection.decoder,
                                new ResponseMonitor(connection),
                                new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                connection))
                .connect(server.getHost(), server.getPort())
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        connection.send(call);
                    } else {
                        call.request().release();
                        call.callback().accept(new Result.Failure(false, String.valueOf(connected.cause())));
                    }
                });
    }

    private DefaultFullHttpRequest request(String method, String target, byte[] body) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, server.toString());
        if (body.length > 0 || !method.equals("GET")) {
            request.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        return request;
    }

    /** Notices that a response is arriving, and how long it will be, before all of it has been received. */
    private static final class ResponseMonitor extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        private ResponseMonitor(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response && connection.rejectsLengthOf(response)) {
                ReferenceCountUtil.release(message);
                return;
            }
            connection.restartTimeout();
            context.fireChannelRead(message);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final boolean reusable;
        private final ResponseDecoder decoder = new ResponseDecoder();
        private Channel channel;
        private Call call;
        private ScheduledFuture<?> timeout;
        private ScheduledFuture<?> deadline;

        private Connection(boolean reusable) {
            this.reusable = reusable;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private void send(Call newCall) {
            call = newCall;
            restartTimeout();
            deadline = eventLoop.schedule(
                    () -> fail("deadline"), MAX_CALL_SILENCES * call.silenceMillis(), TimeUnit.MILLISECONDS);
            channel.writeAndFlush(call.request());
        }

        private boolean hasCall() {
            return call != null;
        }

        private void close() {
            idleConnections.remove(this);
            channel.close();
        }

        private void restartTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (call != null) {
                timeout = eventLoop.schedule(() -> fail("timeout"), call.silenceMillis(), TimeUnit.MILLISECONDS);
            }
        }

        /** Ends the call if the response is longer than wanted; returns whether it is. */
        private boolean rejectsLengthOf(HttpResponse response) {
            long length = HttpUtil.getContentLength(response, 0L);
            if (call == null || length <= call.maxBodyBytes()) {
                return false;
            }
            end(new Result.TooLarge(length));
            return true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (call == null || response.decoderResult().isFailure()) {
                fail("malformed response");
                return;
            }
            Consumer<Result> pendingCallback = takeCallback();
            boolean keepsOpen = reusable && HttpUtil.isKeepAlive(response) && decoder.pendingBytes() == 0;
            if (keepsOpen && idleConnections.size() < MAX_IDLE_CONNECTIONS) {
                idleConnections.addLast(this);
            } else {
                channel.close();
            }
            pendingCallback.accept(new Result.Response(
                    response.status().code(),
                    NettyHeaders.toRelay(response.headers()),
                    NettyHeaders.bytes(response.content())));
        }

        private void fail(String reason) {
            end(new Result.Failure(true, reason));
        }

        /** Closes the connection, and ends the call if there is one. */
        private void end(Result result) {
            close();
            if (call != null) {
                takeCallback().accept(result);
            }
        }

        private Consumer<Result> takeCallback() {
            timeout.cancel(false);
            deadline.cancel(false);
            Consumer<Result> pendingCallback = call.callback();
            call = null;
            return pendingCallback;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(String.valueOf(cause));
        }
    }
}
