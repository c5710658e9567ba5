package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.memory.MemoryBudget;
import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.RequestInProgress;
import baobabcroft.routing.CallerLimits;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Server for callers' connections. Not thread-safe: apart from creation, used on its event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
public final class FrontServer {
    /**
     * Share of the descriptors for accepted connections: a request needs one of its caller and one to an endpoint, and
     * there are servers for callers and for other instances.
     */
    private static final double DESCRIPTOR_SHARE = 0.25;
    /** Share of the memory for connections as such; the rest is for their requests. */
    private static final double MEMORY_SHARE = 0.25;

    private final FrontContext context;
    private final ConnectionReclaimer reclaimer;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private final int maxConnections;
    private long rejectedConnections;
    private boolean draining;
    private Channel listener;

    private FrontServer(
            int statedDescriptors,
            Supplier<CallerLimits> limits,
            MemoryBudget memory,
            LongSupplier nowMillis,
            BiFunction<CallerRequest, CallerExchange, RequestInProgress> relay) {
        this.maxConnections = (int) Math.min(
                DescriptorLimit.share(DESCRIPTOR_SHARE, statedDescriptors),
                Math.max(1, MEMORY_SHARE * memory.capacityBytes() / HeadMemory.CONNECTION_BYTES));
        this.reclaimer = new ConnectionReclaimer(connections, nowMillis);
        this.context = new FrontContext(limits, memory, reclaimer, () -> draining, nowMillis, relay);
    }

    /**
     * Binds an address and serves the connections that it accepts.
     *
     * @param loop event loop of all connections
     * @param address address that callers connect to
     * @param statedDescriptors descriptors that the deployment allows the process; 0 if it states none
     * @param limits current limits on callers' requests
     * @param memory memory of the instance, which requests and responses take from
     * @param nowMillis monotonic clock, in milliseconds
     * @param relay starts serving a request
     * @return the listening server
     */
    public static FrontServer start(
            EventLoopGroup loop,
            HostAndPort address,
            int statedDescriptors,
            Supplier<CallerLimits> limits,
            MemoryBudget memory,
            LongSupplier nowMillis,
            BiFunction<CallerRequest, CallerExchange, RequestInProgress> relay) {
        FrontServer server = new FrontServer(
                statedDescriptors,
                checkNotNull(limits),
                checkNotNull(memory),
                checkNotNull(nowMillis),
                checkNotNull(relay));
        server.listener = NettyChannels.server(loop, server::handlers)
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly()
                .channel();
        return server;
    }

    private List<ChannelHandler> handlers() {
        if (connections.size() >= maxConnections && !reclaimer.closeOne()) {
            rejectedConnections++;
            return ImmutableList.of(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelActive(ChannelHandlerContext channel) {
                    channel.close();
                }
            });
        }
        CallerConnection connection = new CallerConnection(context, connections::remove);
        connections.add(connection);
        return connection.handlers();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the connections, with or without a request
     */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Returns how many unfinished requests without progress were refused so that others were received.
     *
     * @return the requests since the start
     */
    public long reclaimedRequests() {
        return reclaimer.reclaimedRequests();
    }

    /**
     * Returns how many connections were closed, or not accepted, because too many were open.
     *
     * @return the connections since the start
     */
    public long excessConnections() {
        return reclaimer.reclaimedIdle() + rejectedConnections;
    }

    /** Makes every response from now on close its connection. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections without an open request or a response that is not completely written. */
    public void closeIdle() {
        ImmutableList.copyOf(connections).forEach(CallerConnection::closeIfIdle);
    }

    /** Stops accepting connections, after those that have been received. */
    public void stopAccepting() {
        listener.close();
    }

    /**
     * Returns the number of connections on which a request is being received or served, until its response is written,
     * or is likely on its way.
     *
     * @return the number of busy connections
     */
    public int busyConnections() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }
}
