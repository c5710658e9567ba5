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
 * Connection on which this instance asks one peer, opened when first needed and again after a pause when it failed.
 *
 * <p>Thread-safe: all state belongs to one event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failed writes and closes end the channel, which is handled
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

    private final Queue<PendingAsk> waiting = new ArrayDeque<>();
    private final Map<Long, PendingAsk> unanswered = new HashMap<>();
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

    CompletionStage<PeerResult> ask(PeerRequest request, long timeoutMillis) {
        PendingAsk ask = new PendingAsk(request);
        if (outstanding.incrementAndGet() > settings.maxOutstanding()) {
            outstanding.decrementAndGet();
            ask.fail(PeerFailure.QUEUE_FULL);
            return ask.answer();
        }
        ask.answer().whenComplete((answer, failure) -> outstanding.decrementAndGet());
        eventLoop.execute(() -> start(ask, timeoutMillis));
        return ask.answer();
    }

    /** Closes for good: what is unanswered fails. */
    void close() {
        eventLoop.execute(() -> {
            state = State.CLOSED;
            failAll(PeerFailure.CLOSED);
            closeChannel();
        });
    }

    private void start(PendingAsk ask, long timeoutMillis) {
        switch (state) {
            case CLOSED -> ask.fail(PeerFailure.CLOSED);
            case BACKING_OFF -> ask.fail(PeerFailure.NOT_CONNECTED);
            case READY -> send(ask);
            case CONNECTING -> waiting.add(ask);
            case IDLE -> {
                waiting.add(ask);
                connect();
            }
            default -> throw new AssertionError(state);
        }
        if (!ask.answer().isDone()) {
            var timer = eventLoop.schedule(() -> timeOut(ask), timeoutMillis, TimeUnit.MILLISECONDS);
            ask.answer().whenComplete((answer, failure) -> timer.cancel(false));
        }
    }

    private void timeOut(PendingAsk ask) {
        ask.fail(PeerFailure.TIMEOUT);
        waiting.remove(ask);
        unanswered.values().remove(ask);
    }

    private void send(PendingAsk ask) {
        if (ask.answer().isDone()) {
            return;
        }
        if (!channel.isWritable()) {
            ask.fail(PeerFailure.QUEUE_FULL);
            return;
        }
        long correlationId = ++lastCorrelationId;
        unanswered.put(correlationId, ask);
        ask.markWritten();
        Envelope envelope = PeerCodec.envelope(self)
                .setCorrelationId(correlationId)
                .setRequest(ask.request())
                .build();
        channel.writeAndFlush(envelope);
    }

    private void connect() {
        state = State.CONNECTING;
        OpenerHandshake handshake = new OpenerHandshake(authenticator, self, peer, this::handshakeDone);
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
                handshakeDone(Optional.of(PeerFailure.NOT_CONNECTED));
            }
        });
        attempt.closeFuture().addListener(future -> closed(attempt));
        eventLoop.schedule(() -> abandonHandshake(attempt), handshakeLimitMillis(), TimeUnit.MILLISECONDS);
    }

    private long handshakeLimitMillis() {
        return settings.connectTimeoutMillis() + settings.handshakeTimeoutMillis();
    }

    private void abandonHandshake(Channel attempt) {
        if (state == State.CONNECTING && channel == attempt) {
            attempt.close();
        }
    }

    private void handshakeDone(Optional<PeerFailure> failure) {
        if (state != State.CONNECTING) {
            return;
        }
        if (failure.isPresent()) {
            backOff(failure.get());
            return;
        }
        failedConnects = 0;
        state = State.READY;
        PeerCodec.authenticated(channel.pipeline(), settings, channel.pipeline().last(), new Replies());
        List<PendingAsk> due = new ArrayList<>(waiting);
        waiting.clear();
        due.forEach(this::send);
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
        eventLoop.schedule(this::mayConnectAgain, jitteredMillis, TimeUnit.MILLISECONDS);
    }

    private void mayConnectAgain() {
        if (state == State.BACKING_OFF) {
            state = State.IDLE;
        }
    }

    private void closed(Channel closedChannel) {
        if (channel != closedChannel || state == State.CLOSED) {
            return;
        }
        if (state == State.CONNECTING) {
            handshakeDone(Optional.of(PeerFailure.NOT_CONNECTED));
            return;
        }
        if (state == State.READY) {
            state = State.IDLE;
            failAll(PeerFailure.CONNECTION_LOST);
        }
    }

    private void failAll(PeerFailure failure) {
        List<PendingAsk> failed = new ArrayList<>(waiting);
        failed.addAll(unanswered.values());
        waiting.clear();
        unanswered.clear();
        failed.forEach(ask -> ask.fail(failure));
    }

    private void closeChannel() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Reads the peer's replies. */
    private final class Replies extends SimpleChannelInboundHandler<Envelope> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            if (!envelope.hasReply()) {
                context.close();
                return;
            }
            PendingAsk ask = unanswered.remove(envelope.getCorrelationId());
            if (ask != null) {
                ask.reply(envelope.getReply());
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
