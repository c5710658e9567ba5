package baobabcroft.front;

import baobabcroft.memory.MemoryReservation;
import baobabcroft.memory.MemoryUse;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.RequestInProgress;
import baobabcroft.routing.CallerLimits;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/**
 * A caller's connection. Reads each request completely before serving it, serves one request at a time and writes the
 * responses.
 *
 * <p>The channel is read while a request is served, so that a close by the caller is detected immediately.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
final class CallerConnection extends ChannelInboundHandlerAdapter implements RequestDecoder.Intake {
    /** Time in which a caller takes a refusal before the connection is closed though it has not closed it. */
    private static final long REFUSAL_LINGER_MILLIS = 1_000;
    /**
     * Time in which a caller that has connected sends its request: a round trip between regions, several times. In a
     * planned stop, what is taken later may not end in time.
     */
    private static final long FIRST_REQUEST_MILLIS = 250;

    /**
     * Longest wait for memory for a request, in milliseconds. A caller counts a request as lost that has not been read
     * after a second.
     */
    private static final long MAX_MEMORY_WAIT_MILLIS = 750;

    private final FrontContext front;
    private final Consumer<CallerConnection> onClosed;
    private final PipelinedMessages pipelinedMessages;
    private final RequestDecoder decoder;
    private final HeadMemory headMemory;
    private final ReceiveProgress progress;
    private ChannelHandlerContext context;
    private Optional<HttpRequest> requestHead = Optional.empty();
    private final IncomingBody requestBody;
    private final MemoryReservation unsentMemory;
    private Optional<RequestInProgress> relayedRequest = Optional.empty();
    private ScheduledFuture<?> timeout;
    private final long acceptedAtMillis;
    private boolean headerTimeoutStarted;
    private boolean requestReceived;
    private boolean busy;
    private boolean awaitingMemory;
    private boolean closing;
    /** Written response to a request whose rest is being discarded. */
    private Optional<ChannelFuture> discardingAfter = Optional.empty();

    CallerConnection(FrontContext front, Consumer<CallerConnection> onClosed) {
        this.front = front;
        this.onClosed = onClosed;
        this.acceptedAtMillis = front.nowMillis().getAsLong();
        this.progress = new ReceiveProgress(front.nowMillis());
        this.decoder = new RequestDecoder(() -> front.limits().get().maxHeaderBytes(), this);
        this.headMemory = new HeadMemory(front.memory(), front.reclaimer());
        this.pipelinedMessages = new PipelinedMessages(front.memory().reserve(MemoryUse.PIPELINED));
        this.unsentMemory = front.memory().reserve(MemoryUse.UNSENT);
        this.requestBody = new IncomingBody(front.memory().reserve(MemoryUse.REQUEST_BODY));
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        awaitRequest();
        if (!headMemory.reserveConnection()) {
            refuseForMemory();
        }
    }

    /** Returns the handlers of the connection's channel, this one last. */
    List<ChannelHandler> handlers() {
        ChannelInboundHandlerAdapter arrivals = new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext channel, Object message) {
                onBytesReceived(((ByteBuf) message).readableBytes());
                channel.fireChannelRead(message);
            }
        };
        return ImmutableList.of(arrivals, decoder, new HttpResponseEncoder(), this);
    }

    @Override
    public boolean takesMessages() {
        return closing || !(awaitingMemory || pipelinedMessages.isFull());
    }

    @Override
    public void onUndecoded(int bytes) {
        if (closing) {
            return;
        }
        if (!busy && !awaitingMemory) {
            if (!headMemory.holdUndecoded(bytes)) {
                refuseForMemory();
            }
        } else if (!headMemory.countUndecoded(bytes)) {
            context.channel().config().setAutoRead(false);
        }
    }

    /** Returns the memory that is given back if the request that is being received is refused, in bytes. */
    long reclaimableBytes() {
        return headMemory.heldBytes() + requestBody.heldBytes();
    }

    /** Returns whether a request is being received, and not held up by this instance. */
    boolean isReceiving() {
        boolean begun = headerTimeoutStarted || requestHead.isPresent() || headMemory.heldBytes() > 0;
        return !closing && !busy && !awaitingMemory && begun;
    }

    /** Returns whether a close loses nothing: no request is received or served, or all is discarded. */
    boolean isIdle() {
        return discardingAfter.isPresent() || (!isBusy() && !closing && !awaitingMemory);
    }

    /** Returns how the request that is being received arrives. */
    ReceiveProgress progress() {
        return progress;
    }

    /** Refuses the request that is being received, and closes the connection. */
    void reclaim() {
        if (isReceiving()) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else {
            closeNow();
        }
    }

    /**
     * Returns whether a request is being received or served, until its response is written, or the first one is likely
     * on its way.
     */
    boolean isBusy() {
        return busy
                || requestHead.isPresent()
                || headerTimeoutStarted
                || discardingAfter.isPresent()
                || awaitsFirstRequest();
    }

    private boolean awaitsFirstRequest() {
        return !requestReceived && front.nowMillis().getAsLong() - acceptedAtMillis < FIRST_REQUEST_MILLIS;
    }

    /** Closes the connection unless a request is being received or served. */
    void closeIfIdle() {
        if (!isBusy() && context != null) {
            closing = true;
            context.close();
        }
    }

    /** Called for all received bytes; the first bytes of a new request start the header timeout. */
    private void onBytesReceived(int bytes) {
        progress.onReceived(bytes);
        if (!busy && !closing && requestHead.isEmpty() && context != null && !headerTimeoutStarted) {
            headerTimeoutStarted = true;
            progress.onRequestBegun(bytes);
            startTimeout(CallerLimits::headerTimeoutMillis, this::onRequestTimeout);
        }
    }

    private void closeNow() {
        closing = true;
        context.close();
    }

    private void awaitRequest() {
        headerTimeoutStarted = false;
        startTimeout(CallerLimits::idleTimeoutMillis, context::close);
    }

    private void onRequestTimeout() {
        refuse(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    private void startTimeout(ToLongFunction<CallerLimits> limitMillis, Runnable action) {
        scheduleTimeout(limitMillis, 0, action);
    }

    /** Runs an action once the current limit has passed, which may be raised meanwhile. */
    private void scheduleTimeout(ToLongFunction<CallerLimits> limitMillis, long elapsedMillis, Runnable action) {
        stopTimeout();
        long millis = limitMillis.applyAsLong(front.limits().get());
        Runnable onTimeout = () -> {
            if (limitMillis.applyAsLong(front.limits().get()) > millis) {
                scheduleTimeout(limitMillis, millis, action);
            } else {
                action.run();
            }
        };
        timeout = context.executor().schedule(onTimeout, millis - elapsedMillis, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        if (closing) {
            discard((HttpObject) message);
            return;
        }
        if (busy || awaitingMemory) {
            keepPipelined((HttpObject) message);
            return;
        }
        read((HttpObject) message);
    }

    private void keepPipelined(HttpObject message) {
        pipelinedMessages.add(message);
        if (pipelinedMessages.isFull()) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void read(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                refuse(Refusals.statusOf(message.decoderResult().cause()));
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

    private void readHead(HttpRequest request) {
        if (!Refusals.hasUnambiguousFraming(request)) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        requestHead = Optional.of(request);
        if (!headMemory.holdDecoded(PipelinedMessages.bytesOf(request))) {
            refuseForMemory();
            return;
        }
        if (IncomingBody.statedBytes(request) > front.limits().get().maxBodyBytes()) {
            refuseUnread(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        startTimeout(CallerLimits::idleTimeoutMillis, this::onRequestTimeout);
        switch (requestBody.start(request, () -> onMemoryGranted(this::continueRequest))) {
            case GRANTED -> continueRequest();
            case WAITING -> awaitMemory();
            case REFUSED -> refuseForMemory();
            default -> throw new IllegalStateException("unknown result of a memory reservation");
        }
    }

    private void continueRequest() {
        if (requestHead.filter(HttpUtil::is100ContinueExpected).isPresent()) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void awaitMemory() {
        awaitingMemory = true;
        context.channel().config().setAutoRead(false);
        startTimeout(limits -> Math.min(MAX_MEMORY_WAIT_MILLIS, limits.idleTimeoutMillis()), this::onMemoryTimeout);
        makeRoomForBody();
    }

    private boolean makeRoomForBody() {
        return !requestBody.isWaiting() || front.reclaimer().makeRoom(() -> !requestBody.isWaiting());
    }

    private void onMemoryTimeout() {
        if (!makeRoomForBody()) {
            refuseForMemory();
        }
    }

    /** Called from within another connection's release of memory, so the reading is resumed in a task of its own. */
    private void onMemoryGranted(Runnable next) {
        context.executor().execute(() -> {
            if (awaitingMemory && !closing) {
                awaitingMemory = false;
                startTimeout(CallerLimits::idleTimeoutMillis, this::onRequestTimeout);
                context.channel().config().setAutoRead(true);
                next.run();
                readOn();
            }
        });
    }

    private void readPipelined() {
        while (!busy && !awaitingMemory && !closing && !pipelinedMessages.isEmpty()) {
            read(pipelinedMessages.next());
        }
    }

    /** Reads what has been received, and more unless too much of it has to wait. */
    private void readOn() {
        readPipelined();
        resumeDecoding();
        if (!closing && !awaitingMemory) {
            context.channel().config().setAutoRead(!pipelinedMessages.isFull());
        }
    }

    private void resumeDecoding() {
        try {
            decoder.resume();
        } catch (Exception failed) { // Declared by Netty's handlers; treated as one that a handler throws.
            exceptionCaught(context, failed);
        }
    }

    private void readContent(HttpContent content) {
        if (requestHead.isEmpty()) {
            return;
        }
        if (requestBody.size() + content.content().readableBytes()
                > front.limits().get().maxBodyBytes()) {
            refuseUnread(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        switch (requestBody.add(content, () -> onMemoryGranted(this::readPipelined))) {
            case GRANTED -> serveIfComplete();
            case WAITING -> {
                // Read again after the wait.
                pipelinedMessages.addFirst(ReferenceCountUtil.retain(content));
                awaitMemory();
            }
            case REFUSED -> refuseForMemory();
            default -> throw new IllegalStateException("unknown result of a memory reservation");
        }
    }

    private void serveIfComplete() {
        if (requestBody.isComplete()) {
            serve(requestHead.orElseThrow());
        }
    }

    private void serve(HttpRequest request) {
        stopTimeout();
        busy = true;
        requestReceived = true;
        headerTimeoutStarted = false;
        requestHead = Optional.empty();
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        boolean chunkedResponse = request.protocolVersion().isKeepAliveDefault();
        CallerRequest callerRequest = new CallerRequest(
                request.method().name(),
                request.uri(),
                hostOf(request.headers().get(HttpHeaderNames.HOST)),
                NettyHeaders.toRelay(request.headers()),
                requestBody.take());
        ResponseWriter writer = new ResponseWriter(
                context,
                unsentMemory,
                front.draining(),
                keepAlive,
                chunkedResponse,
                this::onResponseEnded,
                this::closeNow);
        RequestInProgress started = front.relay().apply(callerRequest, writer);
        // If it is done, the one that is under way may already be a pipelined one behind it.
        if (!started.isDone()) {
            relayedRequest = Optional.of(started);
        }
    }

    private static String hostOf(String header) {
        return Splitter.on(':').split(header).iterator().next();
    }

    private void refuse(HttpResponseStatus status) {
        busy = true;
        closing = true;
        stopTimeout();
        releaseRequest();
        onResponseEnded(context.writeAndFlush(Refusals.response(status)), false);
    }

    private void refuseForMemory() {
        requestBody.abandonWait();
        if (requestHead.isPresent()) {
            refuseUnread(HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        closing = true;
        decoder.skipAll();
        releaseRequest();
        context.writeAndFlush(Refusals.response(HttpResponseStatus.SERVICE_UNAVAILABLE));
        startTimeout(limits -> REFUSAL_LINGER_MILLIS, context::close);
    }

    private void releaseRequest() {
        requestBody.release();
        headMemory.release();
    }

    /**
     * Refuses a request whose body has not been received, and discards the rest of it before the connection is closed:
     * a close with unread bytes would reset the connection, and the caller could lose the response.
     */
    private void refuseUnread(HttpResponseStatus status) {
        if (requestHead.filter(HttpUtil::is100ContinueExpected).isPresent()) {
            refuse(status);
            return;
        }
        closing = true;
        awaitingMemory = false;
        headerTimeoutStarted = false;
        requestHead = Optional.empty();
        releaseRequest();
        discardingAfter = Optional.of(context.writeAndFlush(Refusals.response(status)));
        startTimeout(CallerLimits::idleTimeoutMillis, context::close);
        context.channel().config().setAutoRead(true);
        while (!pipelinedMessages.isEmpty()) {
            discard(pipelinedMessages.next());
        }
        resumeDecoding();
    }

    private void discard(HttpObject message) {
        if (message instanceof LastHttpContent || message.decoderResult().isFailure()) {
            discardingAfter.ifPresent(written -> written.addListener(ChannelFutureListener.CLOSE));
        }
        ReferenceCountUtil.release(message);
    }

    private void onResponseEnded(ChannelFuture write, boolean keepAlive) {
        relayedRequest = Optional.empty();
        requestBody.release();
        headMemory.releaseDecoded();
        closing |= !keepAlive;
        if (!write.isDone()) {
            awaitWriteProgress(unsentBytes());
        }
        write.addListener(written -> onResponseWritten(written.isSuccess() && keepAlive));
    }

    /** Closes the connection once the caller has taken no bytes of the response for a whole idle timeout. */
    private void awaitWriteProgress(long unsentBytes) {
        startTimeout(CallerLimits::idleTimeoutMillis, () -> {
            long stillUnsentBytes = unsentBytes();
            if (stillUnsentBytes == unsentBytes) {
                context.close();
            } else {
                awaitWriteProgress(stillUnsentBytes);
            }
        });
    }

    private long unsentBytes() {
        ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes() - unsent.currentProgress();
    }

    private void onResponseWritten(boolean keepAlive) {
        busy = false;
        if (!keepAlive) {
            context.close();
            return;
        }
        awaitRequest();
        readOn();
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        closing = true;
        stopTimeout();
        pipelinedMessages.release();
        Optional<RequestInProgress> interrupted = relayedRequest;
        relayedRequest = Optional.empty();
        interrupted.ifPresent(RequestInProgress::onCallerDisconnected);
        releaseRequest();
        headMemory.releaseConnection();
        onClosed.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        context.close();
    }
}
