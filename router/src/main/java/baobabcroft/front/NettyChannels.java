package baobabcroft.front;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.function.Supplier;
import jdk.net.ExtendedSocketOptions;

/** Creates bootstraps with the socket options that all channels share. */
public final class NettyChannels {
    private static final int KEEP_ALIVE_IDLE_SECONDS = 2;
    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    /** Unanswered probes before a connection counts as lost; with the times above, within the required 4 s. */
    private static final int KEEP_ALIVE_PROBES = 2;
    /** Enough pending connections for a burst of callers that reconnect after a restart. */
    private static final int BACKLOG = 512;

    /** Bytes that one connection may have read and decoded in a turn of the event loop, before others are served. */
    private static final int MAX_TURN_BYTES = 32 << 10;

    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2 << 10;

    /**
     * Bytes of a request that the kernel takes before the server reads them. A request counts as written once the
     * kernel has all of it; with its own limit of several megabytes, an upload that nobody reads would count as well.
     * Linux doubles the figure; 512 KB fill a link of 68 Mbit/s over the 60 ms of a round trip between regions.
     */
    private static final int SEND_BUFFER_BYTES = 256 << 10;

    private NettyChannels() {}

    /**
     * Returns a bootstrap for client channels; each channel gets its own handlers.
     *
     * @param loop event loop of the channels
     * @param connectTimeoutMillis longest time in which a connection is established, in milliseconds
     * @param handlers supplies the handlers of one channel
     * @return the bootstrap
     */
    public static Bootstrap client(
            EventLoopGroup loop,
            int connectTimeoutMillis,
            Supplier<? extends List<? extends ChannelHandler>> handlers) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .handler(initializer(handlers));
    }

    /**
     * Returns a bootstrap for server channels; each accepted channel gets its own handlers.
     *
     * @param loop event loop of the channels
     * @param handlers supplies the handlers of one channel
     * @return the bootstrap
     */
    public static ServerBootstrap server(
            EventLoopGroup loop, Supplier<? extends List<? extends ChannelHandler>> handlers) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_TURN_BYTES)
                                .maxMessagesPerRead(1))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(initializer(handlers));
    }

    private static ChannelInitializer<Channel> initializer(
            Supplier<? extends List<? extends ChannelHandler>> handlers) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                handlers.get().forEach(handler -> channel.pipeline().addLast(handler));
            }
        };
    }
}
