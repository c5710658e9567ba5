package baobabcroft.front;

import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.Headers;
import baobabcroft.relay.RelayedRequest;
import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One caller's connection: reads requests whole, one after the other, and writes their answers.
 *
 * <p>Reading goes on while a request is served, so that the caller's close is seen at once.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes its channel, which is handled.
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Messages read ahead of their turn; beyond, reading stops. */
    private static final int MAX_READ_AHEAD = 64;
    /** Longest unsent part of a stream, in bytes: a caller that reads no more is given up. */
    private static final long MAX_UNSENT_BYTES = 4 << 20;

    private final FrontContext front;
    private final Consumer<CallerConnection> onClosed;
    private final Deque<HttpObject> readAhead = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private Optional<HttpRequest> head = Optional.empty();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Optional<RelayedRequest> relayed = Optional.empty();
    private ScheduledFuture<?> timeout;
    private boolean busy;
    private boolean closing;

    CallerConnection(FrontContext front, Consumer<CallerConnection> onClosed) {
        this.front = front;
        this.onClosed = onClosed;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        awaitRequest();
    }

    /** Returns whether a request is being read or served. */
    boolean isBusy() {
        return busy || head.isPresent();
    }

    /** Closes the connection unless a request is under way. */
    void closeIfIdle() {
        if (!isBusy() && context != null) {
            closing = true;
            context.close();
        }
    }

    /** Notes that bytes arrive; the headers of a new request must be whole in time from now. */
    void bytesArrived() {
        if (!busy && head.isEmpty() && context != null && !headersAwaited) {
            headersAwaited = true;
            startTimeout(front.limits().get().headerTimeoutMillis(), this::headersLate);
        }
    }

    private boolean headersAwaited;

    private void awaitRequest() {
        headersAwaited = false;
        startTimeout(front.limits().get().idleTimeoutMillis(), context::close);
    }

    private void headersLate() {
        refuse(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    private void startTimeout(long millis, Runnable action) {
        stopTimeout();
        timeout = context.executor().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (busy) {
            readAhead.add((HttpObject) message);
            if (readAhead.size() > MAX_READ_AHEAD) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        read((HttpObject) message);
    }

    private void read(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                refuse(statusOf(message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest request) {
                readHead(request);
            }
            if (!closing && message instanceof HttpContent content) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    private void readHead(HttpRequest request) {
        if (!isWellFramed(request)) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        head = Optional.of(request);
        body = new ByteArrayOutputStream();
        startTimeout(front.limits().get().idleTimeoutMillis(), this::headersLate);
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private static boolean isWellFramed(HttpRequest request) {
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunkedOnly = encodings.isEmpty()
                || (encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
        boolean lengthOnce =
                request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
        boolean hostOnce = request.headers().getAll(HttpHeaderNames.HOST).size() == 1;
        boolean originForm = request.uri().startsWith("/");
        return chunkedOnly && lengthOnce && hostOnce && originForm;
    }

    private void readContent(HttpContent content) {
        if (head.isEmpty()) {
            return;
        }
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > front.limits().get().maxBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        body.writeBytes(NettyHeaders.bytes(bytes));
        if (content instanceof LastHttpContent) {
            serve(head.get());
        }
    }

    private void serve(HttpRequest request) {
        stopTimeout();
        busy = true;
        head = Optional.empty();
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        boolean chunkedAnswers = request.protocolVersion().isKeepAliveDefault();
        CallerRequest whole = new CallerRequest(
                request.method().name(),
                request.uri(),
                hostOf(request.headers().get(HttpHeaderNames.HOST)),
                NettyHeaders.toRelay(request.headers()),
                body.toByteArray());
        body = new ByteArrayOutputStream();
        AnswerWriter writer = new AnswerWriter(keepAlive, chunkedAnswers);
        RelayedRequest started = front.relay().apply(whole, writer);
        relayed = started.isDone() ? Optional.empty() : Optional.of(started);
    }

    private static String hostOf(String header) {
        return Splitter.on(':').split(header).iterator().next();
    }

    private void refuse(HttpResponseStatus status) {
        closing = true;
        stopTimeout();
        DefaultFullHttpResponse answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    private void answered(ChannelFuture written, boolean keepAlive) {
        busy = false;
        relayed = Optional.empty();
        if (!keepAlive) {
            closing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        awaitRequest();
        context.channel().config().setAutoRead(true);
        while (!busy && !closing && !readAhead.isEmpty()) {
            read(readAhead.poll());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        closing = true;
        stopTimeout();
        readAhead.forEach(ReferenceCountUtil::release);
        readAhead.clear();
        Optional<RelayedRequest> interrupted = relayed;
        relayed = Optional.empty();
        interrupted.ifPresent(RelayedRequest::onCallerDisconnected);
        onClosed.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        context.close();
    }

    /** Writes the answer of one request. */
    private final class AnswerWriter implements CallerExchange {
        private final boolean keepAlive;
        private final boolean chunked;

        private AnswerWriter(boolean keepAlive, boolean chunked) {
            this.keepAlive = keepAlive;
            this.chunked = chunked;
        }

        private boolean staysOpen() {
            return keepAlive && !front.draining().getAsBoolean();
        }

        @Override
        public void answer(int status, Headers headers, byte[] content) {
            boolean open = staysOpen();
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
            NettyHeaders.addTo(response.headers(), headers);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
            setConnection(response, open);
            answered(context.writeAndFlush(response), open);
        }

        private void setConnection(HttpResponse response, boolean open) {
            if (!open) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        @Override
        public void startStream(int status, Headers headers) {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            NettyHeaders.addTo(response.headers(), headers);
            if (chunked) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            setConnection(response, chunked && staysOpen());
            context.write(response);
        }

        @Override
        public void streamData(byte[] data) {
            if (context.channel().bytesBeforeWritable() > MAX_UNSENT_BYTES) {
                abort();
                return;
            }
            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
        }

        @Override
        public void endStream() {
            answered(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), chunked && staysOpen());
        }

        @Override
        public void abort() {
            closing = true;
            context.close();
        }
    }
}
