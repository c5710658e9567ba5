package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP client for short calls to one server over pooled connections. Responses are aggregated before they are returned.
 *
 * <p>Each call ends in exactly one {@link Reply}. A connection that failed or timed out is never reused. Not
 * thread-safe: used on its event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
public final class HttpCalls {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Enough for one page of the store with its JSON encoding. */
    private static final int MAX_REPLY_BYTES = 8 << 20;

    private static final int MAX_IDLE = 2;

    private final EventLoop loop;
    private final HostAndPort server;
    private final Deque<Connection> idle = new ArrayDeque<>();

    /**
     * Creates a client without connections.
     *
     * @param loop event loop of all connections
     * @param server address of the server
     */
    public HttpCalls(EventLoop loop, HostAndPort server) {
        this.loop = checkNotNull(loop);
        this.server = checkNotNull(server);
    }

    /** Result of a call. */
    public sealed interface Reply {
        /**
         * The server responded.
         *
         * @param status HTTP status
         * @param body response body, may be empty
         */
        @SuppressWarnings("ArrayRecordComponent")
        record Answered(int status, byte[] body) implements Reply {}

        /**
         * No valid response was received.
         *
         * @param sent whether the request may have reached the server and been executed
         * @param reason cause of the failure, for logs
         */
        record Lost(boolean sent, String reason) implements Reply {}
    }

    /**
     * Sends a request to the server.
     *
     * @param method HTTP method
     * @param target request target: path and query
     * @param body JSON document, or empty for none
     * @param timeoutMillis longest wait for the response after connecting, in milliseconds
     * @param then receives the result on the event loop, never before this method has returned
     */
    public void call(String method, String target, byte[] body, long timeoutMillis, Consumer<Reply> then) {
        Connection kept = idle.pollLast();
        while (kept != null && !kept.channel.isActive()) {
            kept = idle.pollLast();
        }
        DefaultFullHttpRequest request = request(method, target, body);
        if (kept != null) {
            kept.begin(request, timeoutMillis, then);
            return;
        }
        Connection connection = new Connection();
        NettyChannels.client(
                        loop,
                        CONNECT_TIMEOUT_MILLIS,
                        () -> List.of(new HttpClientCodec(), new HttpObjectAggregator(MAX_REPLY_BYTES), connection))
                .connect(server.getHost(), server.getPort())
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        connection.begin(request, timeoutMillis, then);
                    } else {
                        request.release();
                        then.accept(new Reply.Lost(false, String.valueOf(connected.cause())));
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

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Consumer<Reply> then;
        private ScheduledFuture<?> timeout;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private void begin(DefaultFullHttpRequest request, long timeoutMillis, Consumer<Reply> next) {
            then = next;
            timeout = loop.schedule(() -> lose("timeout"), timeoutMillis, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (then == null || response.decoderResult().isFailure()) {
                lose("malformed response");
                return;
            }
            timeout.cancel(false);
            Consumer<Reply> ended = then;
            then = null;
            if (HttpUtil.isKeepAlive(response) && idle.size() < MAX_IDLE) {
                idle.addLast(this);
            } else {
                channel.close();
            }
            ended.accept(new Reply.Answered(response.status().code(), NettyHeaders.bytes(response.content())));
        }

        private void lose(String reason) {
            idle.remove(this);
            channel.close();
            if (then != null) {
                timeout.cancel(false);
                Consumer<Reply> ended = then;
                then = null;
                ended.accept(new Reply.Lost(true, reason));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lose("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            lose(String.valueOf(cause));
        }
    }
}
