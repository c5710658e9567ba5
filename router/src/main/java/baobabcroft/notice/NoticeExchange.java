package baobabcroft.notice;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.notice.proto.PeerNotice;
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

/** Tells other instances what is known here, and hears them. Used on its event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A datagram that cannot be sent is as good as lost.
public final class NoticeExchange {
    /** Pause in which changes are gathered into one notice, in milliseconds: a fraction of a prompt's reading. */
    private static final long GATHER_MILLIS = 25;
    /** Time after which unchanged loads are told again, in milliseconds: a third of a peer's memory. */
    private static final long REPEAT_MILLIS = 1_000;

    /** Shortest time between notices to other failure domains, in milliseconds: about that of one prompt. */
    private static final long MIN_FAR_MILLIS = 300;
    /** Longest such time, in milliseconds: a third of the time for which a notice is believed. */
    private static final long MAX_FAR_MILLIS = 1_000;
    /** Such time for each instance elsewhere, in milliseconds: all of them are told, over links that are paid for. */
    private static final long FAR_MILLIS_PER_INSTANCE = 15;
    /**
     * Notices that an instance elsewhere is to hear of this failure domain in that time, on average. Instances are
     * drawn anew each time, so that one of seven hears none.
     */
    private static final double FAR_NOTICES = 2;
    /** Instances elsewhere that one instance tells at a time: digests of many endpoints fill thin links. */
    private static final int MAX_FAR_RECEIVERS = 12;
    /** Time after the start in which an instance cannot speak for its failure domain, in milliseconds. */
    private static final long HEARING_MILLIS = REPEAT_MILLIS + MIN_FAR_MILLIS;

    /** Notices that one instance sends in a millisecond at the most, as a power of two. */
    private static final int SEQUENCE_BITS = 8;

    private final EventLoop loop;
    private final String instance;
    private final String failureDomain;
    private final NoticeDelegate knowledge;
    private final Map<String, InetSocketAddress> near = new HashMap<>();
    private final Map<String, InetSocketAddress> far = new HashMap<>();
    private Channel channel;
    private long sequence = System.currentTimeMillis() << SEQUENCE_BITS;
    private boolean pending;
    private boolean idleTold = true;
    private boolean domainIdleTold = true;

    private NoticeExchange(EventLoop loop, String instance, String failureDomain, NoticeDelegate knowledge) {
        this.loop = loop;
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.knowledge = knowledge;
    }

    /**
     * Binds an address and begins to tell and hear.
     *
     * @param loop runs it
     * @param instance name of this instance
     * @param failureDomain where it stands
     * @param address where to listen for datagrams
     * @param knowledge what is told and heard
     * @return the exchange, without peers
     */
    public static NoticeExchange start(
            EventLoop loop, String instance, String failureDomain, HostAndPort address, NoticeDelegate knowledge) {
        NoticeExchange exchange =
                new NoticeExchange(loop, checkNotNull(instance), checkNotNull(failureDomain), checkNotNull(knowledge));
        exchange.channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(exchange.receiver())
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly()
                .channel();
        loop.scheduleWithFixedDelay(exchange::repeat, REPEAT_MILLIS, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(exchange::tellFar, HEARING_MILLIS, TimeUnit.MILLISECONDS);
        return exchange;
    }

    /**
     * Adds a peer, or changes where it listens.
     *
     * @param name name of the instance
     * @param address where it listens
     * @param peerDomain where it stands; instances of other failure domains are told less often and of this one as a
     *     whole, as those bytes are paid for
     */
    public void putPeer(String name, HostAndPort address, String peerDomain) {
        if (!name.equals(instance)) {
            boolean isNear = peerDomain.equals(failureDomain);
            (isNear ? near : far).put(name, new InetSocketAddress(address.getHost(), address.getPort()));
        }
    }

    /**
     * Returns how many instances are known.
     *
     * @return the count, with this one
     */
    public int instanceCount() {
        return 1 + near.size() + far.size();
    }

    /** This instance's loads have changed. */
    public void scheduleNotice() {
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
        NoticeContents contents = knowledge.ownContents();
        idleTold = contents.loads().isEmpty();
        send(notice(contents), near.values());
    }

    /** Returns the time between notices to so many instances elsewhere, in milliseconds. */
    static long farMillis(int farInstances) {
        return Math.max(MIN_FAR_MILLIS, Math.min(MAX_FAR_MILLIS, FAR_MILLIS_PER_INSTANCE * farInstances));
    }

    private void tellFar() {
        loop.schedule(this::tellFar, farMillis(far.size()), TimeUnit.MILLISECONDS);
        NoticeContents contents = knowledge.domainContents();
        if (far.isEmpty() || (contents.loads().isEmpty() && domainIdleTold)) {
            return;
        }
        domainIdleTold = contents.loads().isEmpty();
        List<InetSocketAddress> some = new ArrayList<>(far.values());
        Collections.shuffle(some, ThreadLocalRandom.current());
        send(
                notice(contents).setFailureDomain(failureDomain),
                some.subList(0, receiversElsewhere(far.size(), near.size())));
    }

    /**
     * Returns how many instances of other failure domains one instance tells at a time. All instances of its domain
     * tell the same, so that each needs to tell a share of the others only.
     */
    static int receiversElsewhere(int farInstances, int nearInstances) {
        double share = FAR_NOTICES * farInstances / (1 + nearInstances);
        return (int) Math.min(Math.min(farInstances, MAX_FAR_RECEIVERS), Math.ceil(share));
    }

    private PeerNotice.Builder notice(NoticeContents contents) {
        PeerNotice.Builder notice =
                PeerNotice.newBuilder().setInstance(instance).setSequence(++sequence);
        contents.addTo(notice);
        return notice;
    }

    private void send(PeerNotice.Builder notice, Collection<InetSocketAddress> receivers) {
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
        PeerNotice notice;
        try {
            notice = PeerNotice.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            // Not a notice: nothing is known from it.
            return;
        }
        NoticeContents contents = NoticeContents.of(notice);
        if (notice.getFailureDomain().isEmpty()) {
            knowledge.onInstanceNotice(notice.getInstance(), notice.getSequence(), contents);
        } else {
            knowledge.onDomainNotice(notice.getFailureDomain(), contents);
        }
    }
}
