package baobabcroft.notice;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.notice.proto.PeerNotice;
import com.google.common.net.HostAndPort;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Sends notices to other instances and receives theirs. Not thread-safe: to be used on its event loop only. */
public final class NoticeExchange {
    /** Shortest delay in which changes are batched into one notice: to the next wake-up of the instance. */
    private static final long BATCH_DELAY_MILLIS = 1;
    /** Interval at which notices are read that no decision has asked for. */
    private static final long READ_INTERVAL_MILLIS = 100;

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

    private final NoticeSocket socket;
    private final Scheduler scheduler;
    private final String instance;
    private final String failureDomain;
    private final NoticeDelegate delegate;
    /** Addresses of peers in this failure domain, by instance name. */
    private final Map<String, InetSocketAddress> localPeers = new HashMap<>();
    /** Addresses of peers in other failure domains, by instance name. */
    private final Map<String, InetSocketAddress> remotePeers = new HashMap<>();

    private long sequence = System.currentTimeMillis() << SEQUENCE_BITS;
    private boolean noticePending;
    private boolean idleSent = true;
    private boolean domainIdleSent = true;

    private NoticeExchange(
            NoticeSocket socket, Scheduler scheduler, String instance, String failureDomain, NoticeDelegate delegate) {
        this.socket = socket;
        this.scheduler = scheduler;
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.delegate = delegate;
    }

    /**
     * Binds a datagram socket and starts to send and receive notices. Blocks until the socket is bound.
     *
     * @param loop event loop on which the exchange runs
     * @param scheduler runs timers on the event loop
     * @param instance name of this instance
     * @param failureDomain failure domain of this instance
     * @param address address to bind for datagrams
     * @param delegate supplies and consumes the contents of notices
     * @return the exchange, without peers
     */
    public static NoticeExchange start(
            EventLoop loop,
            Scheduler scheduler,
            String instance,
            String failureDomain,
            HostAndPort address,
            NoticeDelegate delegate) {
        checkNotNull(loop);
        NoticeExchange exchange = new NoticeExchange(
                NoticeSocket.bind(loop, address),
                checkNotNull(scheduler),
                checkNotNull(instance),
                checkNotNull(failureDomain),
                checkNotNull(delegate));
        loop.execute(exchange::receiveRepeatedly);
        scheduler.schedule(RESEND_INTERVAL_MILLIS, exchange::resend);
        scheduler.schedule(REMOTE_START_DELAY_MILLIS, exchange::sendToRemotePeers);
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

    /** Reads the notices that have arrived. To be called before a decision that depends on them. */
    public void receive() {
        socket.receive(this::receive);
    }

    private void receiveRepeatedly() {
        if (socket.isOpen()) {
            receive();
            scheduler.schedule(READ_INTERVAL_MILLIS, this::receiveRepeatedly);
        }
    }

    /** Schedules a notice about changed loads of this instance to the peers in its failure domain. */
    public void scheduleNotice() {
        if (!noticePending && !localPeers.isEmpty()) {
            noticePending = true;
            scheduler.schedule(BATCH_DELAY_MILLIS, this::sendToLocalPeers);
        }
    }

    private void resend() {
        scheduler.schedule(RESEND_INTERVAL_MILLIS, this::resend);
        if (!noticePending && !idleSent) {
            sendToLocalPeers();
        }
    }

    private void sendToLocalPeers() {
        noticePending = false;
        NoticeContents contents = delegate.ownContents();
        idleSent = contents.isIdle();
        send(notice(contents), localPeers.values());
    }

    /** Returns the interval of notices to a number of instances in other failure domains, in milliseconds. */
    static long remoteIntervalMillis(int remoteInstances) {
        return Math.max(
                MIN_REMOTE_INTERVAL_MILLIS,
                Math.min(MAX_REMOTE_INTERVAL_MILLIS, REMOTE_INTERVAL_MILLIS_PER_INSTANCE * remoteInstances));
    }

    private void sendToRemotePeers() {
        scheduler.schedule(remoteIntervalMillis(remotePeers.size()), this::sendToRemotePeers);
        NoticeContents contents = delegate.domainContents();
        if (remotePeers.isEmpty() || (contents.isIdle() && domainIdleSent)) {
            return;
        }
        domainIdleSent = contents.isIdle();
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
        socket.send(notice.build().toByteArray(), recipients);
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
