package baobabcroft.peer;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.peer.proto.Envelope;
import baobabcroft.peer.proto.PeerRequest;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;

/**
 * Connection on which this instance sends requests to one peer.
 *
 * <p>It is opened by the first request. After a failed connect, requests fail until a backoff delay has passed;
 * the next request after the delay connects again. Thread-safe: connection state is confined to one event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close ends the channel, which is handled
final class OutboundConnection {
    private static final EventLog LOG = EventLog.of(OutboundConnection.class);

    private final PeerSettings settings;
    private final PeerAuthenticator authenticator;
    private final String self;
    private final String peer;
    private final InetSocketAddress address;
    private final EventLoop eventLoop;
    private final DoubleSupplier jitter;
    private final AtomicInteger outstanding = new AtomicInteger();

    private final Queue<PendingRequest> queued = new ArrayDeque<>();
    private final Map<Long, PendingRequest> inFlight = new HashMap<>();
    private State state = State.IDLE;
    private Channel channel;
    private long lastCorrelationId;
    private int failedConnects;

    private enum State {
        IDLE,
        CONNECTING,
        READY,
        BACKING_OFF,
        CLOSED
    }

    OutboundConnection(
            PeerSettings settings,
            PeerAuthenticator authenticator,
            String self,
            String peer,
            InetSocketAddress address,
            EventLoop eventLoop,
            DoubleSupplier jitter) {
        this.settings = settings;
        this.authenticator = authenticator;
        this.self = self;
        this.peer = peer;
        this.address = address;
        this.eventLoop = eventLoop;
        this.jitter = jitter;
    }

    InetSocketAddress address() {
        return address;
    }

    CompletionStage<PeerResult> send(PeerRequest request, long timeoutMillis) {
        PendingRequest pending = new PendingRequest(request);
        if (outstanding.incrementAndGet() > settings.maxOutstanding()) {
            outstanding.decrementAndGet();
            pending.fail(PeerFailure.QUEUE_FULL);
            return pending.result();
        }
        pending.result().whenComplete((result, failure) -> outstanding.decrementAndGet());
        eventLoop.execute(() -> dispatch(pending, timeoutMillis));
        return pending.result();
    }

    /** Closes the connection permanently; pending requests fail. */
    void close() {
        eventLoop.execute(() -> {
            state = State.CLOSED;
            failAll(PeerFailure.CLOSED);
            closeChannel();
        });
    }

    private void dispatch(PendingRequest pending, long timeoutMillis) {
        switch (state) {
            case CLOSED -> pending.fail(PeerFailure.CLOSED);
            case BACKING_OFF -> pending.fail(PeerFailure.NOT_CONNECTED);
            case READY -> write(pending);
            case CONNECTING -> queued.add(pending);
            case IDLE -> {
                queued.add(pending);
                connect();
            }
            default -> throw new AssertionError(state);
        }
        if (!pending.result().isDone()) {
            var timer = eventLoop.schedule(() -> timeOut(pending), timeoutMillis, TimeUnit.MILLISECONDS);
            pending.result().whenComplete((result, failure) -> timer.cancel(false));
        }
    }

    private void timeOut(PendingRequest pending) {
        pending.fail(PeerFailure.TIMEOUT);
        queued.remove(pending);
        inFlight.values().remove(pending);
    }

    private void write(PendingRequest pending) {
        if (pending.result().isDone()) {
            return;
        }
        if (!channel.isWritable()) {
            pending.fail(PeerFailure.QUEUE_FULL);
            return;
        }
        long correlationId = ++lastCorrelationId;
        inFlight.put(correlationId, pending);
        pending.markWritten();
        Envelope envelope = PeerCodec.envelope(self)
                .setCorrelationId(correlationId)
                .setRequest(pending.request())
                .build();
        channel.writeAndFlush(envelope);
    }

    private void connect() {
        state = State.CONNECTING;
        OpenerHandshake handshake = new OpenerHandshake(authenticator, self, peer, this::onHandshakeCompleted);
        Bootstrap bootstrap = new Bootstrap();
        bootstrap.group(eventLoop);
        NettyChannels.configure(bootstrap, settings);
        bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                PeerCodec.install(opened.pipeline(), settings, handshake);
            }
        });
        ChannelFuture connected = bootstrap.connect(address);
        channel = connected.channel();
        Channel attempt = channel;
        connected.addListener(future -> {
            if (!future.isSuccess()) {
                onHandshakeCompleted(Optional.of(PeerFailure.NOT_CONNECTED));
            }
        });
        attempt.closeFuture().addListener(future -> onChannelClosed(attempt));
        eventLoop.schedule(
                () -> closeIfHandshakePending(attempt), totalHandshakeTimeoutMillis(), TimeUnit.MILLISECONDS);
    }

    private long totalHandshakeTimeoutMillis() {
        return settings.connectTimeoutMillis() + settings.handshakeTimeoutMillis();
    }

    private void closeIfHandshakePending(Channel attempt) {
        if (state == State.CONNECTING && channel == attempt) {
            attempt.close();
        }
    }

    private void onHandshakeCompleted(Optional<PeerFailure> failure) {
        if (state != State.CONNECTING) {
            return;
        }
        if (failure.isPresent()) {
            backOff(failure.get());
            return;
        }
        failedConnects = 0;
        state = State.READY;
        PeerCodec.switchToSession(
                channel.pipeline(), settings, channel.pipeline().last(), new ReplyHandler());
        List<PendingRequest> ready = new ArrayList<>(queued);
        queued.clear();
        ready.forEach(this::write);
    }

    private void backOff(PeerFailure failure) {
        LOG.log(LogEvent.PEER_CONNECTION_FAILED, peer);
        state = State.BACKING_OFF;
        failAll(failure);
        closeChannel();
        long delayMillis =
                Math.min(settings.maxBackoffMillis(), settings.backoffMillis() << Math.min(failedConnects, Short.SIZE));
        failedConnects++;
        long jitteredMillis = Math.max(1, (long) (delayMillis * (1 + jitter.getAsDouble()) / 2));
        eventLoop.schedule(this::endBackoff, jitteredMillis, TimeUnit.MILLISECONDS);
    }

    private void endBackoff() {
        if (state == State.BACKING_OFF) {
            state = State.IDLE;
        }
    }

    private void onChannelClosed(Channel closedChannel) {
        if (channel != closedChannel || state == State.CLOSED) {
            return;
        }
        if (state == State.CONNECTING) {
            onHandshakeCompleted(Optional.of(PeerFailure.NOT_CONNECTED));
            return;
        }
        if (state == State.READY) {
            state = State.IDLE;
            failAll(PeerFailure.CONNECTION_LOST);
        }
    }

    private void failAll(PeerFailure failure) {
        List<PendingRequest> failed = new ArrayList<>(queued);
        failed.addAll(inFlight.values());
        queued.clear();
        inFlight.clear();
        failed.forEach(pending -> pending.fail(failure));
    }

    private void closeChannel() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Completes pending requests with the replies of the peer. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<Envelope> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            if (!envelope.hasReply()) {
                context.close();
                return;
            }
            PendingRequest pending = inFlight.remove(envelope.getCorrelationId());
            if (pending != null) {
                pending.reply(envelope.getReply());
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
            LOG.logFailure(LogEvent.PEER_CONNECTION_FAILED, cause, peer);
            context.close();
        }
    }
}
