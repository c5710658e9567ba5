package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class NettyChannelsTest {
    /** Time in which a connection that went silent for good must be found. */
    private static final int CONTACT_SECONDS = 4;
    /** Time for which the other end of a connection may be silent and go on. */
    private static final int SOUND_SILENCE_SECONDS = 1;

    private final EventLoopGroup loop = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Keep-alive probes decide when a silent connection is lost, as no TCP_USER_TIMEOUT is set, which would precede.
     */
    @Test
    void silentConnectionsOutliveASecondAndAreLostInTime() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Channel channel = NettyChannels.client(loop, 1_000, List::of)
                    .connect(server.getInetAddress(), server.getLocalPort())
                    .sync()
                    .channel();
            int idleSeconds = channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE));
            int intervalSeconds =
                    channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL));
            int probes = channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT));

            assertTrue(channel.config().getOption(ChannelOption.SO_KEEPALIVE));
            assertEquals(CONTACT_SECONDS, idleSeconds + intervalSeconds * probes);
            assertTrue(idleSeconds > SOUND_SILENCE_SECONDS && intervalSeconds * probes > SOUND_SILENCE_SECONDS);
            channel.close().sync();
        }
    }
}
