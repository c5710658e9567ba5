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
 * Short calls to one server, each answered whole, over connections that are reused. Used on its event loop only.
 *
 * <p>Each call ends in exactly one {@link Reply}; a connection that failed or fell silent is never used again.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes its channel, which is handled.
public final class HttpCalls {
    /** Longest wait for a connection, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Longest reply, in bytes: a page of the store and its framing. */
    private static final int MAX_REPLY_BYTES = 8 << 20;
    /** Idle connections kept. */
    private static final int MAX_IDLE = 2;

    private final EventLoop loop;
    private final HostAndPort server;
    private final Deque<Connection> idle = new ArrayDeque<>();

    /**
     * Creates a client without connections.
     *
     * @param loop runs all connections
     * @param server where to connect
     */
    public HttpCalls(EventLoop loop, HostAndPort server) {
        this.loop = checkNotNull(loop);
        this.server = checkNotNull(server);
    }

    /** How a call ended. */
    public sealed interface Reply {
        /**
         * The server replied.
         *
         * @param status HTTP status
         * @param body the body
         */
        @SuppressWarnings("ArrayRecordComponent")
        record Answered(int status, byte[] body) implements Reply {}

        /**
         * No reply came.
         *
         * @param sent whether the call may have been executed
         * @param reason what was seen
         */
        record Lost(boolean sent, String reason) implements Reply {}
    }

    /**
     * Calls the server.
     *
     * @param method HTTP method
     * @param target path and query
     * @param body JSON, or empty
     * @param timeoutMillis longest wait for the reply, in milliseconds
     * @param then receives the reply on the event loop, never before this method has returned
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
                lose("malformed reply");
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
