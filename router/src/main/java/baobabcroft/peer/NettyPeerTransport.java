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
 * Transport over TCP, with one outbound connection for each peer that this instance sends requests to.
 *
 * <p>Thread-safe. Handlers and callbacks of results run on event loops and must not block.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close ends the channel, which is handled
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
     * Starts a transport that listens on the given address.
     *
     * @param self name of this instance, which it sends to peers in the authenticated handshake
     * @param listenAddress address to listen on; port 0 selects a free port
     * @param sharedKey key shared by all instances, at least 16 bytes
     * @param settings timeouts and limits
     * @param addressOf returns the current address of a peer by name; called for each request, from any thread
     * @param random source of nonces and jitter
     * @return the listening transport
     * @throws IllegalArgumentException if the name is empty or the key is too short
     */
    public static NettyPeerTransport start(
            String self,
            InetSocketAddress listenAddress,
            byte[] sharedKey,
            PeerSettings settings,
            Function<String, Optional<InetSocketAddress>> addressOf,
            SecureRandom random) {
        checkArgument(!self.isEmpty(), "name of this instance must not be empty");
        checkNotNull(addressOf);
        return new NettyPeerTransport(self, listenAddress, sharedKey, settings, addressOf, random);
    }

    /**
     * Returns the address that this transport listens on.
     *
     * @return the bound address, with the actual port
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
            removeConnection(peer);
            return failed(PeerFailure.UNKNOWN_PEER);
        }
        return connection(peer, address.get()).send(request, timeoutMillis);
    }

    @Override
    public void handle(PeerRequest.BodyCase body, PeerHandler handler) {
        handlers.register(body, handler);
    }

    /** Stops listening and closes all connections; pending requests fail. Does not wait for the shutdown. */
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

    private void removeConnection(String peer) {
        OutboundConnection removed = connections.remove(peer);
        if (removed != null) {
            removed.close();
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
