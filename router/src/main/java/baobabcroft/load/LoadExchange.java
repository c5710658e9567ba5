package baobabcroft.load;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.load.SharedLoads.Load;
import baobabcroft.load.proto.EndpointLoad;
import baobabcroft.load.proto.LoadNotice;
import com.google.common.net.HostAndPort;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Tells peers this instance's loads when they change, and hears theirs. Used on its event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A datagram that cannot be sent is as good as lost.
public final class LoadExchange {
    /** Pause in which changes are gathered into one notice, in milliseconds: a fraction of a prompt's reading. */
    private static final long GATHER_MILLIS = 25;
    /** Time after which unchanged loads are told again, in milliseconds: a third of a peer's memory. */
    private static final long REPEAT_MILLIS = 1_000;

    /** Time between notices to other failure domains, in milliseconds. */
    private static final long FAR_MILLIS = 300;
    /** Instances of other failure domains that are told at a time, drawn anew each time. */
    private static final int MAX_FAR_PEERS = 6;

    private final EventLoop loop;
    private final String instance;
    private final SharedLoads others;
    private final Supplier<Map<String, Load>> own;
    private final Map<String, InetSocketAddress> near = new HashMap<>();
    private final Map<String, InetSocketAddress> far = new HashMap<>();
    private Channel channel;
    private long sequence = System.currentTimeMillis() << SEQUENCE_BITS;
    private boolean pending;
    private boolean farChanged;
    private boolean idleTold = true;

    /** Notices that one instance sends in a millisecond at the most, as a power of two. */
    private static final int SEQUENCE_BITS = 8;

    private LoadExchange(EventLoop loop, String instance, SharedLoads others, Supplier<Map<String, Load>> own) {
        this.loop = loop;
        this.instance = instance;
        this.others = others;
        this.own = own;
    }

    /**
     * Binds an address and begins to tell and hear.
     *
     * @param loop runs it
     * @param instance name of this instance
     * @param address where to listen for datagrams
     * @param others receives what is heard
     * @param own the loads of this instance, those that are zero left out
     * @return the exchange, without peers
     */
    public static LoadExchange start(
            EventLoop loop, String instance, HostAndPort address, SharedLoads others, Supplier<Map<String, Load>> own) {
        LoadExchange exchange = new LoadExchange(loop, checkNotNull(instance), checkNotNull(others), checkNotNull(own));
        exchange.channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(exchange.receiver())
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly()
                .channel();
        loop.scheduleWithFixedDelay(exchange::repeat, REPEAT_MILLIS, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(exchange::tellFar, FAR_MILLIS, FAR_MILLIS, TimeUnit.MILLISECONDS);
        return exchange;
    }

    /**
     * Adds a peer, or changes where it listens.
     *
     * @param name name of the instance
     * @param address where it listens
     * @param isNear whether it stands in the same failure domain; others are told less often, as those bytes are paid
     *     for
     */
    public void peer(String name, HostAndPort address, boolean isNear) {
        if (!name.equals(instance)) {
            (isNear ? near : far).put(name, new InetSocketAddress(address.getHost(), address.getPort()));
        }
    }

    /** This instance's loads have changed. */
    public void changed() {
        farChanged = true;
        if (!pending && !near.isEmpty()) {
            pending = true;
            loop.schedule(this::tell, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void repeat() {
        if (!pending && !idleTold) {
            tell();
        }
    }

    private void tell() {
        pending = false;
        Map<String, Load> loads = own.get();
        idleTold = loads.isEmpty();
        send(loads, near.values());
    }

    private void tellFar() {
        if (farChanged && !far.isEmpty()) {
            farChanged = false;
            List<InetSocketAddress> some = new ArrayList<>(far.values());
            Collections.shuffle(some, ThreadLocalRandom.current());
            send(own.get(), some.subList(0, Math.min(some.size(), MAX_FAR_PEERS)));
        }
    }

    private void send(Map<String, Load> loads, Collection<InetSocketAddress> receivers) {
        LoadNotice.Builder notice =
                LoadNotice.newBuilder().setInstance(instance).setSequence(++sequence);
        loads.forEach((endpoint, load) -> notice.addLoads(EndpointLoad.newBuilder()
                .setEndpoint(endpoint)
                .setInFlight(load.inFlight())
                .setUnreadMillis((int) load.unreadMillis())));
        byte[] bytes = notice.build().toByteArray();
        receivers.forEach(peer -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer)));
        channel.flush();
    }

    private SimpleChannelInboundHandler<DatagramPacket> receiver() {
        return new SimpleChannelInboundHandler<>() {
            @Override
            protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                hear(ByteBufUtil.getBytes(packet.content()));
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                // A peer's port without a listener answers with an error; its address is corrected by the store.
            }
        };
    }

    private void hear(byte[] bytes) {
        try {
            LoadNotice notice = LoadNotice.parseFrom(bytes);
            Map<String, Load> loads = new HashMap<>();
            notice.getLoadsList()
                    .forEach(load ->
                            loads.put(load.getEndpoint(), new Load(load.getInFlight(), load.getUnreadMillis())));
            others.told(notice.getInstance(), notice.getSequence(), loads);
        } catch (InvalidProtocolBufferException malformed) {
            // Not a notice: nothing is known from it.
        }
    }
}
