package baobabcroft.notice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fake.VirtualTime;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.testing.FreePorts;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NoticeExchangeTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long WAKE_UP_MILLIS = 50;

    private final FreePorts ports = new FreePorts();
    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final VirtualTime time = new VirtualTime();
    private final HostAndPort senderAddress = HostAndPort.fromParts("127.0.0.1", ports.next());
    private final HostAndPort receiverAddress = HostAndPort.fromParts("127.0.0.1", ports.next());
    private final Recorder received = new Recorder();
    private final NoticeExchange sender = start("sender", senderAddress, new Recorder());
    private final NoticeExchange receiver = start("receiver", receiverAddress, received);

    /** Has one request in flight, and records the notices of others. */
    private static final class Recorder implements NoticeDelegate {
        private final List<String> instances = new ArrayList<>();

        @Override
        public NoticeContents ownContents() {
            return contents();
        }

        @Override
        public NoticeContents domainContents() {
            return contents();
        }

        private static NoticeContents contents() {
            return new NoticeContents(
                    ImmutableMap.of(EndpointKey.of("engine"), new Load(1, 20, 0, 0)),
                    ImmutableMap.of(),
                    ImmutableList.of(),
                    ImmutableList.of(),
                    ImmutableSet.of());
        }

        @Override
        public void onInstanceNotice(String instance, long sequence, NoticeContents contents) {
            instances.add(instance);
        }

        @Override
        public void onDomainNotice(String failureDomain, NoticeContents contents) {
            instances.add(failureDomain);
        }
    }

    private NoticeExchange start(String name, HostAndPort address, NoticeDelegate delegate) {
        return NoticeExchange.start(loop.next(), time.scheduler(), name, "here", address, delegate);
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void onLoop(Runnable task) {
        loop.next().submit(task).syncUninterruptibly();
    }

    /** Guards against a failed request: choices read the notices, and would throw what the socket throws. */
    @Test
    void doesNotThrowWhenItsSocketCannotBeRead() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();

        receiver.receive();

        assertEquals(List.of(), received.instances);
    }

    @Nested
    class Receives {
        /** A load that is known late sends the requests of all instances to the same endpoint. */
        @Test
        void whatHasArrivedWithoutWaitingForATimer() {
            onLoop(() -> {
                sender.putPeer("receiver", receiverAddress, "here");
                sender.scheduleNotice();
                time.advance(WAKE_UP_MILLIS);
            });
            long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
            while (received.instances.isEmpty()) {
                assertTrue(System.nanoTime() < deadlineNanos, "no notice within 20 s");
                onLoop(receiver::receive);
            }

            assertEquals(List.of("sender"), received.instances);
        }
    }
}
