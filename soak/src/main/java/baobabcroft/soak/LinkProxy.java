package baobabcroft.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.traffic.GlobalTrafficShapingHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.function.IntConsumer;

/**
 * The link from one instance to one server, which can be cut, and may carry only so much to the instance. Thread-safe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or connect closes the channel; the close is handled.
final class LinkProxy implements AutoCloseable {
    /** Rate of a link that carries whatever it is given. */
    static final double UNLIMITED = 0;

    private static final double BYTES_PER_MEGABIT = 125_000;
    private static final long SHAPING_INTERVAL_MILLIS = 50;
    /** What a connection has queued at the most, as the buffers of a socket; the rest is not read. */
    private static final long MAX_QUEUED_BYTES = 64 << 10;

    private final EventLoopGroup group;
    private final String host;
    private final int port;
    private final IntConsumer onSenderPort;
    private final GlobalTrafficShapingHandler shaper;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean silent;
    private Channel listener;
    private int cuts;

    /**
     * Opens a link.
     *
     * @param group runs the channels
     * @param host address of this end
     * @param port port of both ends
     * @param megabitsPerSecond rate of what the instance receives, over all connections; or {@link #UNLIMITED}
     * @param onSenderPort receives the local port of each connection to the endpoint
     */
    LinkProxy(EventLoopGroup group, String host, int port, double megabitsPerSecond, IntConsumer onSenderPort) {
        this.group = group;
        this.host = host;
        this.port = port;
        this.onSenderPort = onSenderPort;
        this.shaper = new GlobalTrafficShapingHandler(
                group, (long) (megabitsPerSecond * BYTES_PER_MEGABIT), 0, SHAPING_INTERVAL_MILLIS);
        shaper.setMaxWriteSize(MAX_QUEUED_BYTES);
        listen();
    }

    private void listen() {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel caller) {
                        connect(caller);
                    }
                })
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    private void connect(Channel caller) {
        channels.add(caller);
        caller.pipeline().addLast(shaper);
        new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Forwarder(caller))
                .connect("127.0.0.1", port)
                .addListener((ChannelFutureListener) connected -> {
                    Channel endpoint = connected.channel();
                    if (!connected.isSuccess()) {
                        caller.close();
                        return;
                    }
                    channels.add(endpoint);
                    onSenderPort.accept(((InetSocketAddress) endpoint.localAddress()).getPort());
                    caller.pipeline().addLast(new Forwarder(endpoint));
                    if (!silent) {
                        caller.config().setAutoRead(true);
                        endpoint.config().setAutoRead(true);
                    }
                });
    }

    /** Passes on what it reads, no faster than the other side takes it. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;

        Forwarder(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object data) {
            other.writeAndFlush(data);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            other.config().setAutoRead(!silent && context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable lost) {
            context.close();
        }
    }

    /** Refuses new connections, and lets open ones fall silent or resets them. */
    synchronized void cut(boolean reset) {
        cuts++;
        listener.close().syncUninterruptibly();
        silent = true;
        for (Channel channel : channels) {
            if (reset && channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            } else {
                channel.config().setAutoRead(false);
            }
        }
    }

    /** Ends a cut: once there is no other, what was sent meanwhile arrives. */
    synchronized void heal() {
        cuts--;
        if (cuts > 0) {
            return;
        }
        silent = false;
        listen();
        channels.forEach(channel -> channel.config().setAutoRead(true));
    }

    @Override
    public synchronized void close() {
        listener.close();
        channels.close();
        shaper.release();
    }
}
