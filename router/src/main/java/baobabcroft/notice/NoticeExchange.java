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

/** Sends notices to other instances and receives theirs. Not thread-safe: to be used on its event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A datagram that cannot be sent counts as lost.
public final class NoticeExchange {
    /** Delay in which changes are batched into one notice, in milliseconds: a fraction of the time to read a prompt. */
    private static final long GATHER_MILLIS = 25;
    /** Interval at which unchanged loads are sent again, in milliseconds: a third of the time for which peers keep them. */
    private static final long REPEAT_MILLIS = 1_000;

    /** Shortest interval of notices to other failure domains, in milliseconds: about the time to process one prompt. */
    private static final long MIN_FAR_MILLIS = 300;
    /** Longest interval of notices to other failure domains, in milliseconds: a third of the time for which one is valid. */
    private static final long MAX_FAR_MILLIS = 1_000;
    /**
     * Part of that interval for each instance of other failure domains, in milliseconds: all of them receive notices,
     * and links between failure domains are billed by traffic.
     */
    private static final long FAR_MILLIS_PER_INSTANCE = 15;
    /**
     * Average number of notices on this failure domain that each instance of the others receives in an interval. As
     * recipients are drawn at random each time, one in seven receives none.
     */
    private static final double FAR_NOTICES = 2;
    /** Limit on recipients in other failure domains at a time: notices on many endpoints saturate narrow links. */
    private static final int MAX_FAR_RECEIVERS = 12;
    /**
     * Delay after the start before notices on the failure domain are sent, in milliseconds: the loads of its other
     * instances have not all been received before.
     */
    private static final long HEARING_MILLIS = REPEAT_MILLIS + MIN_FAR_MILLIS;

    /**
     * Low bits of the initial sequence number, below the time in milliseconds: numbers increase across restarts as long
     * as an instance sends at most 2^8 notices a millisecond.
     */
    private static final int SEQUENCE_BITS = 8;

    private final EventLoop loop;
    private final String instance;
    private final String failureDomain;
    private final SharedKnowledge knowledge;
    private final Map<String, InetSocketAddress> near = new HashMap<>();
    private final Map<String, InetSocketAddress> far = new HashMap<>();
    private Channel channel;
    private long sequence = System.currentTimeMillis() << SEQUENCE_BITS;
    private boolean pending;
    private boolean idleTold = true;
    private boolean domainIdleTold = true;

    private NoticeExchange(EventLoop loop, String instance, String failureDomain, SharedKnowledge knowledge) {
        this.loop = loop;
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.knowledge = knowledge;
    }

    /**
     * Binds a datagram socket and starts to send and receive notices. Blocks until the socket is bound.
     *
     * @param loop event loop on which the exchange runs
     * @param instance name of this instance
     * @param failureDomain failure domain of this instance
     * @param address address to bind for datagrams
     * @param knowledge supplies and consumes the contents of notices
     * @return the exchange, without peers
     */
    public static NoticeExchange start(
            EventLoop loop, String instance, String failureDomain, HostAndPort address, SharedKnowledge knowledge) {
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
     * Adds a peer or changes its address. Ignores this instance itself.
     *
     * @param name name of the instance
     * @param address address on which the peer receives datagrams
     * @param peerDomain failure domain of the peer; instances of other failure domains receive fewer notices, with the
     *     sum over this failure domain only, because that traffic is billed
     */
    public void peer(String name, HostAndPort address, String peerDomain) {
        if (!name.equals(instance)) {
            boolean isNear = peerDomain.equals(failureDomain);
            (isNear ? near : far).put(name, new InetSocketAddress(address.getHost(), address.getPort()));
        }
    }

    /**
     * Returns the number of known instances.
     *
     * @return the count, including this instance
     */
    public int instances() {
        return 1 + near.size() + far.size();
    }

    /** Schedules a notice on changed loads of this instance to the peers in its failure domain. */
    public void changed() {
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
        NoticeContents contents = knowledge.own();
        idleTold = contents.loads().isEmpty();
        send(notice(contents), near.values());
    }

    /** Returns the interval of notices to a number of instances in other failure domains, in milliseconds. */
    static long farMillis(int farInstances) {
        return Math.max(MIN_FAR_MILLIS, Math.min(MAX_FAR_MILLIS, FAR_MILLIS_PER_INSTANCE * farInstances));
    }

    private void tellFar() {
        loop.schedule(this::tellFar, farMillis(far.size()), TimeUnit.MILLISECONDS);
        NoticeContents contents = knowledge.ofOwnDomain();
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
     * Returns to how many instances of other failure domains one instance sends a notice at a time. All instances of a
     * failure domain send the same sum, so each needs to cover only a share of the recipients.
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
                // An ICMP error from a peer's port without a listener; the store supplies the correct address.
            }
        };
    }

    private void hear(byte[] bytes) {
        PeerNotice notice;
        try {
            notice = PeerNotice.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            // Malformed datagrams are ignored.
            return;
        }
        NoticeContents contents = NoticeContents.of(notice);
        if (notice.getFailureDomain().isEmpty()) {
            knowledge.told(notice.getInstance(), notice.getSequence(), contents);
        } else {
            knowledge.toldOfDomain(notice.getFailureDomain(), contents);
        }
    }
}
