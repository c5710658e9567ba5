package baobabcroft.notice;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * A datagram socket that is read when its contents are needed. The event loop does not wake up for each datagram, and a
 * decision does not wait for the event loop's next turn to see those that have arrived. Not thread-safe: to be used on
 * its event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // A datagram that cannot be sent counts as lost.
final class NoticeSocket {
    /** Largest datagram. */
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    /** Datagrams read at a time, so that a flood does not occupy the event loop. */
    private static final int MAX_DATAGRAMS = 256;

    private final EventLog log = EventLog.of(NoticeSocket.class);
    private final DatagramChannel socket;
    private final Channel channel;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);

    private NoticeSocket(DatagramChannel socket, Channel channel) {
        this.socket = socket;
        this.channel = channel;
    }

    /** Binds a socket. Blocks until it is bound. */
    static NoticeSocket bind(EventLoop loop, HostAndPort address) {
        DatagramChannel socket = open();
        Channel channel = new Bootstrap()
                .group(loop)
                .channelFactory(() -> new NioDatagramChannel(socket))
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly()
                .channel();
        return new NoticeSocket(socket, channel);
    }

    private static DatagramChannel open() {
        try {
            return DatagramChannel.open();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    boolean isOpen() {
        return socket.isOpen();
    }

    /** Reads the datagrams that have arrived, without waiting, and passes on the contents of each. */
    void receive(Consumer<byte[]> consumer) {
        try {
            for (int i = 0; i < MAX_DATAGRAMS && socket.receive(buffer.clear()) != null; i++) {
                byte[] datagram = new byte[buffer.flip().remaining()];
                buffer.get(datagram);
                consumer.accept(datagram);
            }
        } catch (IOException failed) {
            // Lost datagrams are made up for by later ones. The caller may be a request that only needs a choice.
            log.logFailure(LogEvent.NOTICES_UNREADABLE, failed);
        }
    }

    /** Sends a datagram to each of the recipients. */
    void send(byte[] datagram, Collection<InetSocketAddress> recipients) {
        recipients.forEach(peer -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), peer)));
        channel.flush();
    }
}
