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
    private static final long BATCH_DELAY_MILLIS = 25;
    /** Interval at which unchanged loads are resent, in milliseconds: a third of the time for which peers keep them. */
    private static final long RESEND_INTERVAL_MILLIS = 1_000;

    /** Shortest interval of notices to other failure domains, in milliseconds: about the time to process one prompt. */
    private static final long MIN_REMOTE_INTERVAL_MILLIS = 300;
    /** Longest interval of notices to other failure domains, in milliseconds: a third of the validity of a notice. */
    private static final long MAX_REMOTE_INTERVAL_MILLIS = 1_000;
    /**
     * Interval of notices to other failure domains for each instance there, in milliseconds: all of those instances
     * receive notices, and links between failure domains are billed by traffic.
     */
    private static final long REMOTE_INTERVAL_MILLIS_PER_INSTANCE = 15;
    /**
     * Average number of notices about this failure domain that each instance of the others receives in an interval. As
     * recipients are drawn at random each time, one in seven receives none.
     */
    private static final double REMOTE_NOTICES_PER_INTERVAL = 2;
    /** Limit on recipients in other failure domains at a time: notices about many endpoints saturate narrow links. */
    private static final int MAX_REMOTE_RECIPIENTS = 12;
    /**
     * Delay after the start before notices about the failure domain are sent, in milliseconds: the loads of its other
     * instances have not all been received before.
     */
    private static final long REMOTE_START_DELAY_MILLIS = RESEND_INTERVAL_MILLIS + MIN_REMOTE_INTERVAL_MILLIS;

    /**
     * Low bits of the initial sequence number, below the time in milliseconds: numbers increase across restarts as long
     * as an instance sends at most 2^8 notices a millisecond.
     */
    private static final int SEQUENCE_BITS = 8;

    private final EventLoop loop;
    private final String instance;
    private final String failureDomain;
    private final NoticeDelegate delegate;
    /** Addresses of peers in this failure domain, by instance name. */
    private final Map<String, InetSocketAddress> localPeers = new HashMap<>();
    /** Addresses of peers in other failure domains, by instance name. */
    private final Map<String, InetSocketAddress> remotePeers = new HashMap<>();

    private Channel channel;
    private long sequence = System.currentTimeMillis() << SEQUENCE_BITS;
    private boolean noticePending;
    private boolean idleSent = true;
    private boolean domainIdleSent = true;

    private NoticeExchange(EventLoop loop, String instance, String failureDomain, NoticeDelegate delegate) {
        this.loop = loop;
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.delegate = delegate;
    }

    /**
     * Binds a datagram socket and starts to send and receive notices. Blocks until the socket is bound.
     *
     * @param loop event loop on which the exchange runs
     * @param instance name of this instance
     * @param failureDomain failure domain of this instance
     * @param address address to bind for datagrams
     * @param delegate supplies and consumes the contents of notices
     * @return the exchange, without peers
     */
    public static NoticeExchange start(
            EventLoop loop, String instance, String failureDomain, HostAndPort address, NoticeDelegate delegate) {
        NoticeExchange exchange =
                new NoticeExchange(loop, checkNotNull(instance), checkNotNull(failureDomain), checkNotNull(delegate));
        exchange.channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(exchange.receiver())
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly()
                .channel();
        loop.scheduleWithFixedDelay(
                exchange::resend, RESEND_INTERVAL_MILLIS, RESEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(exchange::sendToRemotePeers, REMOTE_START_DELAY_MILLIS, TimeUnit.MILLISECONDS);
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
    public void putPeer(String name, HostAndPort address, String peerDomain) {
        if (!name.equals(instance)) {
            boolean isLocal = peerDomain.equals(failureDomain);
            (isLocal ? localPeers : remotePeers).put(name, new InetSocketAddress(address.getHost(), address.getPort()));
        }
    }

    /**
     * Removes a peer.
     *
     * @param name name of the instance
     */
    public void removePeer(String name) {
        localPeers.remove(name);
        remotePeers.remove(name);
    }

    /**
     * Returns the number of known instances.
     *
     * @return the count, including this instance
     */
    public int instanceCount() {
        return 1 + localPeers.size() + remotePeers.size();
    }

    /** Schedules a notice about changed loads of this instance to the peers in its failure domain. */
    public void scheduleNotice() {
        if (!noticePending && !localPeers.isEmpty()) {
            noticePending = true;
            loop.schedule(this::sendToLocalPeers, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void resend() {
        if (!noticePending && !idleSent) {
            sendToLocalPeers();
        }
    }

    private void sendToLocalPeers() {
        noticePending = false;
        NoticeContents contents = delegate.ownContents();
        idleSent = contents.loads().isEmpty();
        send(notice(contents), localPeers.values());
    }

    /** Returns the interval of notices to a number of instances in other failure domains, in milliseconds. */
    static long remoteIntervalMillis(int remoteInstances) {
        return Math.max(
                MIN_REMOTE_INTERVAL_MILLIS,
                Math.min(MAX_REMOTE_INTERVAL_MILLIS, REMOTE_INTERVAL_MILLIS_PER_INSTANCE * remoteInstances));
    }

    private void sendToRemotePeers() {
        loop.schedule(this::sendToRemotePeers, remoteIntervalMillis(remotePeers.size()), TimeUnit.MILLISECONDS);
        NoticeContents contents = delegate.domainContents();
        if (remotePeers.isEmpty() || (contents.loads().isEmpty() && domainIdleSent)) {
            return;
        }
        domainIdleSent = contents.loads().isEmpty();
        List<InetSocketAddress> shuffled = new ArrayList<>(remotePeers.values());
        Collections.shuffle(shuffled, ThreadLocalRandom.current());
        send(
                notice(contents).setFailureDomain(failureDomain),
                shuffled.subList(0, remoteRecipients(remotePeers.size(), localPeers.size())));
    }

    /**
     * Returns to how many instances of other failure domains one instance sends a notice at a time. All instances of a
     * failure domain send the same sum, so each needs to cover only a share of the recipients.
     */
    static int remoteRecipients(int remoteInstances, int localInstances) {
        double share = REMOTE_NOTICES_PER_INTERVAL * remoteInstances / (1 + localInstances);
        return (int) Math.min(Math.min(remoteInstances, MAX_REMOTE_RECIPIENTS), Math.ceil(share));
    }

    private PeerNotice.Builder notice(NoticeContents contents) {
        PeerNotice.Builder notice =
                PeerNotice.newBuilder().setInstance(instance).setSequence(++sequence);
        contents.addTo(notice);
        return notice;
    }

    private void send(PeerNotice.Builder notice, Collection<InetSocketAddress> recipients) {
        byte[] bytes = notice.build().toByteArray();
        recipients.forEach(peer -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer)));
        channel.flush();
    }

    private SimpleChannelInboundHandler<DatagramPacket> receiver() {
        return new SimpleChannelInboundHandler<>() {
            @Override
            protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                receive(ByteBufUtil.getBytes(packet.content()));
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                // An ICMP error from a peer's port without a listener; the store supplies the correct address.
            }
        };
    }

    private void receive(byte[] bytes) {
        PeerNotice notice;
        try {
            notice = PeerNotice.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            // Malformed datagrams are ignored.
            return;
        }
        NoticeContents contents = NoticeContents.of(notice);
        if (notice.getFailureDomain().isEmpty()) {
            delegate.onInstanceNotice(notice.getInstance(), notice.getSequence(), contents);
        } else {
            delegate.onDomainNotice(notice.getFailureDomain(), contents);
        }
    }
}
