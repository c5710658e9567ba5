package baobabcroft.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Channel types and socket options of outbound and inbound connections. */
final class NettyChannels {
    private NettyChannels() {}

    static void configure(Bootstrap bootstrap, PeerSettings settings) {
        bootstrap.channel(NioSocketChannel.class);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis());
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        bootstrap.option(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerCodec.waterMark(settings));
    }

    static void configure(ServerBootstrap bootstrap, PeerSettings settings) {
        bootstrap.channel(NioServerSocketChannel.class);
        bootstrap.option(ChannelOption.SO_REUSEADDR, true);
        bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
        bootstrap.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerCodec.waterMark(settings));
    }
}
