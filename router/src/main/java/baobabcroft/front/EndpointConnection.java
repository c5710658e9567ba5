package baobabcroft.front;

import baobabcroft.common.Scheduler;
import baobabcroft.front.EndpointConnectionPool.PendingExchange;
import baobabcroft.front.UnexpectedBytes.Kind;
import baobabcroft.relay.EndpointRequest;
import baobabcroft.relay.Headers;
import baobabcroft.relay.SendFailure;
import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * A connection to an endpoint. Responses that belong to other requests are skipped.
 *
 * <p>Once anything but the awaited response was received, the framing of what follows is in doubt: the connection is
 * not used for another request. Bytes that are received while no request is open close it.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** Longest time that an idle connection is kept; a shorter Keep-Alive timeout of the endpoint takes precedence. */
    private static final long MAX_IDLE_MILLIS = 3_000;
    /**
     * Fraction of the advertised Keep-Alive timeout after which an idle connection is closed. The timer of the endpoint
     * starts earlier than this one, so the full timeout would allow requests on a connection that it is closing.
     */
    private static final double KEEP_ALIVE_SHARE = 0.6;

    /** Limits on responses that belong to other requests or are informational, before the awaited response. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    private static final long MAX_SKIPPED_BYTES = 16L << 20;
    private static final String KEEP_ALIVE_HEADER = "Keep-Alive";
    private static final String KEEP_ALIVE_TIMEOUT_PARAMETER = "timeout=";

    private final Scheduler readScheduler;
    private final BiPredicate<String, Headers> isResponseTo;
    private final Consumer<EndpointConnection> onIdle;
    private final Consumer<EndpointConnection> onClosed;
    private final Consumer<UnexpectedBytes> onUnexpectedBytes;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private PendingExchange exchange;
    private ChannelFuture writeFuture;
    private ScheduledFuture<?> idleTimeout;
    private long idleMillis = MAX_IDLE_MILLIS;
    private int sentRequests;
    private boolean skippingResponse;
    private int skippedResponses;
    private long skippedBytes;
    private boolean otherResponseReceived;
    private boolean headReceived;
    /** Whether the response states where it ends; otherwise it ends with the connection. */
    private boolean delimited;

    private boolean success;
    private boolean bodyReceived;
    private boolean keepAlive;
    /** Time between two reads, in milliseconds; 0 to read whenever bytes arrive. */
    private long readIntervalMillis;

    /** Key of the connection in the pool. */
    String poolKey = "";

    EndpointConnection(
            Scheduler readScheduler,
            BiPredicate<String, Headers> isResponseTo,
            Consumer<EndpointConnection> onIdle,
            Consumer<EndpointConnection> onClosed,
            Consumer<UnexpectedBytes> onUnexpectedBytes) {
        this.readScheduler = readScheduler;
        this.isResponseTo = isResponseTo;
        this.onIdle = onIdle;
        this.onClosed = onClosed;
        this.onUnexpectedBytes = onUnexpectedBytes;
    }

    /** Returns the handlers of the connection's channel, this one last. */
    List<ChannelHandler> handlers() {
        UnexpectedBytesFilter filter = new UnexpectedBytesFilter(this::hasOpenExchange, bytes -> {
            reportUnexpected(Kind.IDLE, bytes + " bytes");
            channel.close();
        });
        return ImmutableList.of(filter, new HttpRequestEncoder(), decoder, this);
    }

    private void reportUnexpected(Kind kind, String detail) {
        String requestId = hasOpenExchange() ? exchange.request().requestId() : "";
        onUnexpectedBytes.accept(new UnexpectedBytes(kind, poolKey, requestId, sentRequests, detail));
    }

    Channel channel() {
        return channel;
    }

    boolean isReusable() {
        return channel.isActive() && exchange == null;
    }

    boolean hasOpenExchange() {
        return exchange != null && !exchange.isDone();
    }

    void send(PendingExchange next) {
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
        }
        exchange = next;
        sentRequests++;
        next.sentOn(this);
        skippingResponse = false;
        skippedResponses = 0;
        skippedBytes = 0;
        otherResponseReceived = false;
        headReceived = false;
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
        writeFuture = channel.writeAndFlush(message);
    }

    /** Reads at intervals until the exchange ends. */
    void readEvery(long intervalMillis) {
        readIntervalMillis = intervalMillis;
        channel.config().setAutoRead(false);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (hasOpenExchange()) {
            exchange.listener().onReadComplete();
        }
        if (hasOpenExchange() && skippingResponse) {
            exchange.listener().onFramingInDoubt();
        }
        if (readIntervalMillis > 0) {
            readScheduler.schedule(readIntervalMillis, () -> channel.read());
        }
    }

    private void readAlways() {
        readIntervalMillis = 0;
        channel.config().setAutoRead(true);
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
            reportUnexpected(
                    Kind.MALFORMED, String.valueOf(message.decoderResult().cause()));
            boolean lost = message.decoderResult().cause() instanceof PrematureChannelClosureException;
            fail(lost ? SendFailure.CONNECTION_LOST : SendFailure.ANSWER_MALFORMED);
            return;
        }
        if (exchange == null || exchange.isDone()) {
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
        Headers headers = NettyHeaders.toRelay(response.headers());
        boolean informational = response.status().code() < 200;
        skippingResponse =
                informational || !isResponseTo.test(exchange.request().requestId(), headers);
        if (skippingResponse) {
            reportUnexpected(Kind.OTHER_RESPONSE, "status " + response.status().code());
            otherResponseReceived |= !informational;
            exchange.listener().onOtherHead(response.status().code(), headers);
            skippedResponses++;
            failIfSkippedTooMuch();
            return;
        }
        headReceived = true;
        delimited = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        keepAlive = HttpUtil.isKeepAlive(response) && delimited;
        success = response.status().codeClass() == HttpStatusClass.SUCCESS
                && response.status().code() != HttpResponseStatus.NO_CONTENT.code();
        bodyReceived = false;
        readKeepAliveTimeout(response);
        exchange.listener().onHead(response.status().code(), headers);
    }

    private void readKeepAliveTimeout(HttpResponse response) {
        String keepAliveValue = response.headers().get(KEEP_ALIVE_HEADER, "");
        int index = keepAliveValue.indexOf(KEEP_ALIVE_TIMEOUT_PARAMETER);
        if (index < 0) {
            return;
        }
        String digits = keepAliveValue.substring(index + KEEP_ALIVE_TIMEOUT_PARAMETER.length())
                .split("[^0-9]", 2)[0];
        if (!digits.isEmpty() && digits.length() < 8) {
            idleMillis = Math.min(MAX_IDLE_MILLIS, (long) (Long.parseLong(digits) * 1_000 * KEEP_ALIVE_SHARE));
        }
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skippingResponse) {
            skippingResponse = !last;
            skippedBytes += content.content().readableBytes();
            failIfSkippedTooMuch();
            return;
        }
        if (exchange == null || exchange.isDone()) {
            channel.close();
            return;
        }
        if (!headReceived) {
            fail(SendFailure.ANSWER_MALFORMED);
            return;
        }
        if (content.content().isReadable()) {
            bodyReceived = true;
            exchange.listener().onData(NettyHeaders.bytes(content.content()));
        }
        if (last && hasOpenExchange()) {
            if (isBrokenOff()) {
                fail(SendFailure.CONNECTION_LOST);
            } else {
                complete();
            }
        }
    }

    /**
     * Returns whether a response that ends with its connection cannot be whole: the connection was lost while the
     * request was being written, or closed before the first byte of the body.
     */
    private boolean isBrokenOff() {
        return !delimited && (!writeFuture.isSuccess() || (success && !bodyReceived));
    }

    private void failIfSkippedTooMuch() {
        if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
            fail(SendFailure.ANSWER_MALFORMED);
        }
    }

    private void complete() {
        boolean isReusable = isCleanlyFramed() && keepAlive && writeFuture.isSuccess();
        PendingExchange completed = exchange;
        exchange = null;
        readAlways();
        if (isReusable && idleMillis > 0 && channel.isActive()) {
            onIdle.accept(this);
            idleTimeout = channel.eventLoop().schedule(() -> channel.close(), idleMillis, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
        completed.complete();
    }

    /**
     * Returns whether nothing but the awaited response has been received, so that the next one begins where expected.
     */
    private boolean isCleanlyFramed() {
        if (decoder.pendingBytes() > 0) {
            reportUnexpected(Kind.TRAILING, decoder.pendingBytes() + " bytes");
        }
        return !otherResponseReceived && decoder.pendingBytes() == 0;
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
        fail(cause instanceof DecoderException ? SendFailure.ANSWER_MALFORMED : SendFailure.CONNECTION_LOST);
    }
}
