package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.RelayedRequest;
import baobabcroft.routing.CallerLimits;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/** Takes callers' connections. Used on its event loop only, but for creation. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes its channel, which is handled.
public final class FrontServer {
    private final FrontContext context;
    private final Set<CallerConnection> connections = new HashSet<>();
    private boolean draining;
    private Channel listener;

    private FrontServer(
            Supplier<CallerLimits> limits, BiFunction<CallerRequest, CallerExchange, RelayedRequest> relay) {
        this.context = new FrontContext(limits, () -> draining, relay);
    }

    /**
     * Binds an address and serves its connections.
     *
     * @param loop runs all connections
     * @param address where callers connect
     * @param limits what callers may send, at present
     * @param relay starts to serve a request
     * @return the server
     */
    public static FrontServer start(
            EventLoopGroup loop,
            HostAndPort address,
            Supplier<CallerLimits> limits,
            BiFunction<CallerRequest, CallerExchange, RelayedRequest> relay) {
        FrontServer server = new FrontServer(checkNotNull(limits), checkNotNull(relay));
        server.listener = NettyChannels.server(loop, server::handlers)
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly()
                .channel();
        return server;
    }

    private List<io.netty.channel.ChannelHandler> handlers() {
        CallerConnection connection = new CallerConnection(context, connections::remove);
        connections.add(connection);
        ChannelInboundHandlerAdapter arrivals = new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext channel, Object message) {
                connection.bytesArrived();
                channel.fireChannelRead(message);
            }
        };
        return ImmutableList.of(
                arrivals, new RequestDecoder(context.limits().get()), new HttpResponseEncoder(), connection);
    }

    /** From now on each answer ends its connection. */
    public void drain() {
        draining = true;
    }

    /** Takes no more connections and closes those without a request. */
    public void closeIdle() {
        listener.close();
        ImmutableList.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Returns how many connections have a request under way.
     *
     * @return the count
     */
    public int busyConnections() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }
}
