package baobabcroft.front;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/** HTTP server for pages about the instance itself, such as its readiness and metrics. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
public final class StatusServer {
    private static final int MAX_REQUEST_BYTES = 4_096;
    /** Far more than the probes and metrics collectors of one instance use. */
    private static final int MAX_CONNECTIONS = 64;
    /** Silence after which a connection is closed; longer than usual intervals of probes. */
    private static final int IDLE_SECONDS = 60;

    private StatusServer() {}

    /**
     * A page.
     *
     * @param status HTTP status
     * @param text response body as plain text
     */
    public record Page(int status, String text) {}

    /**
     * Binds an address and serves pages.
     *
     * @param loop event loop of all connections
     * @param address address to listen on
     * @param pages supplier of the current page for each path; other paths get status 404
     */
    public static void start(EventLoopGroup loop, HostAndPort address, ImmutableMap<String, Supplier<Page>> pages) {
        Set<Channel> connections = new LinkedHashSet<>();
        NettyChannels.server(
                        loop,
                        () -> List.of(
                                new IdleStateHandler(IDLE_SECONDS, 0, 0),
                                new RequestDecoder(() -> MAX_REQUEST_BYTES, RequestDecoder.Intake.ALWAYS),
                                new HttpResponseEncoder(),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                new Handler(pages, connections)))
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly();
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ImmutableMap<String, Supplier<Page>> pages;
        private final Set<Channel> connections;

        private Handler(ImmutableMap<String, Supplier<Page>> pages, Set<Channel> connections) {
            this.pages = pages;
            this.connections = connections;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(context.channel());
            if (connections.size() > MAX_CONNECTIONS) {
                connections.iterator().next().close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            // Responses that the other side does not take would pile up.
            if (request.decoderResult().isFailure() || !context.channel().isWritable()) {
                context.close();
                return;
            }
            Supplier<Page> page = pages.getOrDefault(request.uri(), () -> new Page(404, ""));
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            var writeFuture = context.writeAndFlush(response(page.get(), keepAlive));
            if (!keepAlive) {
                writeFuture.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static DefaultFullHttpResponse response(Page page, boolean keepAlive) {
        byte[] text = page.text().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(text));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, text.length)
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setKeepAlive(response, keepAlive);
        return response;
    }
}
