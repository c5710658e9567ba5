package baobabcroft.front;

import baobabcroft.front.EndpointConnections.PendingExchange;
import baobabcroft.relay.EndpointRequest;
import baobabcroft.relay.Headers;
import baobabcroft.relay.SendFailure;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * A connection to an endpoint. Responses that belong to other requests are skipped; data that arrives while no request
 * is open closes the connection.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** Longest time that an idle connection is kept; a shorter Keep-Alive timeout of the endpoint takes precedence. */
    private static final long DEFAULT_IDLE_MILLIS = 3_000;
    /** Share of the endpoint's Keep-Alive timeout that is used, as the endpoint's timer starts earlier. */
    private static final double IDLE_SHARE = 0.6;

    private static final int MAX_HEAD_BYTES = 65_536;
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    private final BiPredicate<String, Headers> isAnswerTo;
    private final Consumer<EndpointConnection> onIdle;
    private final Consumer<EndpointConnection> onClosed;
    private Channel channel;
    private PendingExchange exchange;
    private ChannelFuture written;
    private ScheduledFuture<?> idleTimeout;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private boolean skipping;
    private boolean headSeen;
    private boolean keepAlive;

    /** Key of the connection in the pool. */
    String key = "";

    EndpointConnection(
            BiPredicate<String, Headers> isAnswerTo,
            Consumer<EndpointConnection> onIdle,
            Consumer<EndpointConnection> onClosed) {
        this.isAnswerTo = isAnswerTo;
        this.onIdle = onIdle;
        this.onClosed = onClosed;
    }

    /** Returns a decoder for responses. */
    static HttpResponseDecoder decoder() {
        return new HttpResponseDecoder(
                new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxInitialLineLength(MAX_HEAD_BYTES));
    }

    Channel channel() {
        return channel;
    }

    boolean isReusable() {
        return channel.isActive() && exchange == null;
    }

    void begin(PendingExchange next) {
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
        }
        exchange = next;
        skipping = false;
        headSeen = false;
        EndpointRequest request = next.request();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        NettyHeaders.addTo(message.headers(), request.headers());
        if (request.body().length > 0 || !request.method().equals("GET")) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        written = channel.writeAndFlush(message);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail(SendFailure.ANSWER_MALFORMED);
            return;
        }
        if (exchange == null || exchange.isOver()) {
            channel.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        if (response.status().code() < 200) {
            skipping = true;
            return;
        }
        Headers headers = NettyHeaders.toRelay(response.headers());
        skipping = !isAnswerTo.test(exchange.request().requestId(), headers);
        if (skipping) {
            return;
        }
        headSeen = true;
        boolean delimited = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        keepAlive = HttpUtil.isKeepAlive(response) && delimited;
        readIdleTime(response);
        exchange.listener().onHead(response.status().code(), headers);
    }

    private void readIdleTime(HttpResponse response) {
        String stated = response.headers().get(KEEP_ALIVE, "");
        int at = stated.indexOf(KEEP_ALIVE_TIMEOUT);
        if (at < 0) {
            return;
        }
        String digits = stated.substring(at + KEEP_ALIVE_TIMEOUT.length()).split("[^0-9]", 2)[0];
        if (!digits.isEmpty() && digits.length() < 8) {
            idleMillis = Math.min(DEFAULT_IDLE_MILLIS, (long) (Long.parseLong(digits) * 1_000 * IDLE_SHARE));
        }
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (exchange.isOver()) {
            channel.close();
            return;
        }
        if (!headSeen) {
            fail(SendFailure.ANSWER_MALFORMED);
            return;
        }
        if (content.content().isReadable()) {
            exchange.listener().onData(NettyHeaders.bytes(content.content()));
        }
        if (last && exchange != null && !exchange.isOver()) {
            end();
        }
    }

    private void end() {
        PendingExchange ended = exchange;
        exchange = null;
        if (keepAlive && written.isSuccess() && idleMillis > 0 && channel.isActive()) {
            onIdle.accept(this);
            idleTimeout = channel.eventLoop().schedule(() -> channel.close(), idleMillis, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
        ended.finish();
    }

    private void fail(SendFailure failure) {
        PendingExchange failed = exchange;
        exchange = null;
        channel.close();
        if (failed != null) {
            failed.fail(failure);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
        }
        onClosed.accept(this);
        fail(SendFailure.CONNECTION_LOST);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(SendFailure.CONNECTION_LOST);
    }
}
