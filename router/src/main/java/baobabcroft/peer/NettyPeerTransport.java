package baobabcroft.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.peer.proto.PeerRequest;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;

/**
 * Transport over TCP: one connection for each peer that this instance asks.
 *
 * <p>Thread-safe. Handlers and the callbacks of answers run on event loops and must not block.
 */
@SuppressWarnings("FutureReturnValueIgnored") // failed writes and closes end the channel, which is handled
public final class NettyPeerTransport implements PeerTransport {
    private final String self;
    private final PeerSettings settings;
    private final PeerAuthenticator authenticator;
    private final SecureRandom random;
    private final Function<String, Optional<InetSocketAddress>> addressOf;
    private final PeerHandlers handlers = PeerHandlers.create();
    private final ConcurrentMap<String, OutboundConnection> connections = new ConcurrentHashMap<>();
    private final ChannelGroup inbound = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final EventLoopGroup eventLoops;
    private final Channel listener;
    private volatile boolean closed;

    private NettyPeerTransport(
            String self,
            InetSocketAddress listenAddress,
            byte[] sharedKey,
            PeerSettings settings,
            Function<String, Optional<InetSocketAddress>> addressOf,
            SecureRandom random) {
        this.self = self;
        this.settings = settings;
        this.authenticator = new PeerAuthenticator(sharedKey, random);
        this.random = random;
        this.addressOf = addressOf;
        this.eventLoops = new NioEventLoopGroup(settings.threads(), new DefaultThreadFactory("peer", true));
        this.listener = listen(listenAddress);
    }

    /**
     * Starts listening.
     *
     * @param self this instance's own name, which it proves to others
     * @param listenAddress where to listen; port 0 takes a free one
     * @param sharedKey the key that all instances share, 16 bytes or more
     * @param settings limits
     * @param addressOf where each peer listens at present; asked for each request, from any thread
     * @param random source of nonces and jitter
     * @return the transport, listening
     */
    public static NettyPeerTransport start(
            String self,
            InetSocketAddress listenAddress,
            byte[] sharedKey,
            PeerSettings settings,
            Function<String, Optional<InetSocketAddress>> addressOf,
            SecureRandom random) {
        checkArgument(!self.isEmpty(), "own name is empty");
        checkNotNull(addressOf);
        return new NettyPeerTransport(self, listenAddress, sharedKey, settings, addressOf, random);
    }

    /**
     * Returns where this transport listens.
     *
     * @return the bound address
     */
    public InetSocketAddress listenAddress() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public CompletionStage<PeerResult> send(String peer, PeerRequest request, long timeoutMillis) {
        checkNotNull(request);
        checkArgument(timeoutMillis > 0, "timeoutMillis must be positive, was %s", timeoutMillis);
        if (closed) {
            return failed(PeerFailure.CLOSED);
        }
        Optional<InetSocketAddress> address = addressOf.apply(peer);
        if (address.isEmpty()) {
            forget(peer);
            return failed(PeerFailure.UNKNOWN_PEER);
        }
        return connection(peer, address.get()).ask(request, timeoutMillis);
    }

    @Override
    public void handle(PeerRequest.BodyCase body, PeerHandler handler) {
        handlers.register(body, handler);
    }

    /** Stops listening and closes all connections; requests that are unanswered fail. Returns at once. */
    @Override
    public void close() {
        closed = true;
        listener.close();
        connections.values().forEach(OutboundConnection::close);
        inbound.close();
        eventLoops.shutdownGracefully();
    }

    private OutboundConnection connection(String peer, InetSocketAddress address) {
        return connections.compute(peer, (name, existing) -> {
            if (existing != null && existing.address().equals(address)) {
                return existing;
            }
            if (existing != null) {
                existing.close();
            }
            return new OutboundConnection(
                    settings, authenticator, self, peer, address, eventLoops.next(), random::nextDouble);
        });
    }

    private void forget(String peer) {
        OutboundConnection unused = connections.remove(peer);
        if (unused != null) {
            unused.close();
        }
    }

    private Channel listen(InetSocketAddress listenAddress) {
        ServerBootstrap bootstrap = new ServerBootstrap();
        bootstrap.group(eventLoops);
        NettyChannels.configure(bootstrap, settings);
        bootstrap.childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel accepted) {
                accept(accepted);
            }
        });
        try {
            return bootstrap.bind(listenAddress).syncUninterruptibly().channel();
        } catch (RuntimeException e) {
            eventLoops.shutdownGracefully();
            throw e;
        }
    }

    private void accept(Channel accepted) {
        if (closed || inbound.size() >= settings.maxInboundConnections()) {
            accepted.close();
            return;
        }
        inbound.add(accepted);
        ListenerHandshake handshake = new ListenerHandshake(authenticator, settings, handlers, self);
        PeerCodec.install(accepted.pipeline(), settings, handshake);
    }

    private static CompletionStage<PeerResult> failed(PeerFailure kind) {
        return CompletableFuture.completedFuture(new PeerResult.Failed(kind, false));
    }
}
