package baobabcroft.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.peer.proto.Ack;
import baobabcroft.peer.proto.Envelope;
import baobabcroft.peer.proto.Hello;
import baobabcroft.peer.proto.HoldBills;
import baobabcroft.peer.proto.LeaveNotice;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NettyPeerTransportTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_KEY = "fedcba9876543210".getBytes(StandardCharsets.UTF_8);
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final PeerReply ACK =
            PeerReply.newBuilder().setAck(Ack.getDefaultInstance()).build();

    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final List<NettyPeerTransport> started = new ArrayList<>();

    @AfterEach
    void close() {
        started.forEach(NettyPeerTransport::close);
    }

    private NettyPeerTransport start(String name, byte[] key) {
        return start(name, key, PeerSettings.defaults());
    }

    private NettyPeerTransport start(String name, byte[] key, PeerSettings settings) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        NettyPeerTransport transport = NettyPeerTransport.start(
                name, any, key, settings, peer -> Optional.ofNullable(addresses.get(peer)), new SecureRandom());
        started.add(transport);
        addresses.put(name, transport.listenAddress());
        return transport;
    }

    private static PeerRequest holdBills(int bytes) {
        HoldBills hold = HoldBills.newBuilder()
                .setBills(ByteString.copyFrom(new byte[bytes]))
                .build();
        return PeerRequest.newBuilder().setHoldBills(hold).build();
    }

    private static PeerRequest leave() {
        return PeerRequest.newBuilder()
                .setLeaveNotice(LeaveNotice.getDefaultInstance())
                .build();
    }

    private static PeerResult await(CompletionStage<PeerResult> answer) {
        return answer.toCompletableFuture().join();
    }

    @Nested
    class Answers {
        @Test
        void requestReachesTheHandlerOfItsKindWithTheSendersName() {
            NettyPeerTransport a = start("a", KEY);
            NettyPeerTransport b = start("b", KEY);
            List<String> seen = new ArrayList<>();
            b.handle(PeerRequest.BodyCase.HOLD_BILLS, (sender, request) -> {
                seen.add(sender + " " + request.getHoldBills().getBills().size());
                return CompletableFuture.completedFuture(ACK);
            });

            PeerResult answer = await(a.send("b", holdBills(2_000_000), TIMEOUT_MILLIS));

            assertEquals(new PeerResult.Answered(ACK), answer);
            assertEquals(List.of("a 2000000"), seen);
        }

        @Test
        void answersInAnotherOrderReachTheirOwnRequests() {
            NettyPeerTransport a = start("a", KEY);
            NettyPeerTransport b = start("b", KEY);
            CompletableFuture<PeerReply> slow = new CompletableFuture<>();
            b.handle(PeerRequest.BodyCase.HOLD_BILLS, (sender, request) -> slow);
            b.handle(
                    PeerRequest.BodyCase.LEAVE_NOTICE,
                    (sender, request) -> CompletableFuture.completedFuture(PeerHandlers.refused("late")));

            CompletionStage<PeerResult> first = a.send("b", holdBills(1), TIMEOUT_MILLIS);
            PeerResult second = await(a.send("b", leave(), TIMEOUT_MILLIS));
            slow.complete(ACK);

            assertEquals(new PeerResult.Failed(PeerFailure.REFUSED, true), second);
            assertEquals(new PeerResult.Answered(ACK), await(first));
        }
    }

    @Nested
    class Failures {
        @Test
        void wrongKeyIsRefusedBeforeAnyRequestIsSent() {
            NettyPeerTransport a = start("a", OTHER_KEY);
            start("b", KEY);

            assertEquals(
                    new PeerResult.Failed(PeerFailure.AUTHENTICATION_FAILED, false),
                    await(a.send("b", leave(), TIMEOUT_MILLIS)));
        }

        @Test
        void peerOfAnotherNameAtTheAddressIsRefused() {
            NettyPeerTransport a = start("a", KEY);
            NettyPeerTransport b = start("b", KEY);
            addresses.put("c", b.listenAddress());

            assertEquals(
                    new PeerResult.Failed(PeerFailure.AUTHENTICATION_FAILED, false),
                    await(a.send("c", leave(), TIMEOUT_MILLIS)));
        }

        @Test
        void unknownNameAndClosedPortFailWithoutHavingBeenReceived() {
            NettyPeerTransport a = start("a", KEY);
            NettyPeerTransport b = start("b", KEY);
            b.close();

            assertEquals(
                    new PeerResult.Failed(PeerFailure.UNKNOWN_PEER, false),
                    await(a.send("nobody", leave(), TIMEOUT_MILLIS)));
            assertFalse(((PeerResult.Failed) await(a.send("b", leave(), TIMEOUT_MILLIS))).mayHaveBeenReceived());
        }

        @Test
        void silentPeerTimesOutAndMayHaveReceivedTheRequest() {
            NettyPeerTransport a = start("a", KEY);
            NettyPeerTransport b = start("b", KEY);
            CompletableFuture<Void> received = new CompletableFuture<>();
            b.handle(PeerRequest.BodyCase.LEAVE_NOTICE, (sender, request) -> {
                received.complete(null);
                return new CompletableFuture<>();
            });

            CompletionStage<PeerResult> answer = a.send("b", leave(), 1_000);
            received.join();

            assertEquals(new PeerResult.Failed(PeerFailure.TIMEOUT, true), await(answer));
        }

        @Test
        void lostConnectionMayHaveReceivedAndTheNextRequestConnectsAgain() {
            NettyPeerTransport a = start("a", KEY);
            NettyPeerTransport b = start("b", KEY);
            CompletableFuture<Void> received = new CompletableFuture<>();
            b.handle(PeerRequest.BodyCase.LEAVE_NOTICE, (sender, request) -> {
                received.complete(null);
                return new CompletableFuture<>();
            });
            CompletionStage<PeerResult> answer = a.send("b", leave(), TIMEOUT_MILLIS);
            received.join();

            b.close();
            assertEquals(new PeerResult.Failed(PeerFailure.CONNECTION_LOST, true), await(answer));

            NettyPeerTransport next = start("b", KEY);
            next.handle(PeerRequest.BodyCase.LEAVE_NOTICE, (sender, request) -> CompletableFuture.completedFuture(ACK));
            assertEquals(new PeerResult.Answered(ACK), await(a.send("b", leave(), TIMEOUT_MILLIS)));
        }

        @Test
        void requestsBeyondTheLimitFailAtOnce() {
            PeerSettings oneAtATime =
                    new PeerSettings(1_000, 2_000, 2_000, 60_000, 100, 5_000, 1 << 20, 1 << 20, 1, 16, 1);
            NettyPeerTransport a = start("a", KEY, oneAtATime);
            NettyPeerTransport b = start("b", KEY);
            b.handle(PeerRequest.BodyCase.LEAVE_NOTICE, (sender, request) -> new CompletableFuture<>());

            CompletionStage<PeerResult> first = a.send("b", leave(), TIMEOUT_MILLIS);
            PeerResult second = await(a.send("b", leave(), TIMEOUT_MILLIS));

            assertEquals(new PeerResult.Failed(PeerFailure.QUEUE_FULL, false), second);
            assertFalse(first.toCompletableFuture().isDone());
        }
    }

    @Nested
    class Handshake {
        @Test
        void unknownProtocolVersionIsToldOursAndDisconnected() throws Exception {
            NettyPeerTransport b = start("b", KEY);
            Envelope hello = PeerCodec.envelope("a")
                    .setProtocolVersion(PeerCodec.PROTOCOL_VERSION + 1)
                    .setHello(Hello.newBuilder().setNonce(ByteString.copyFromUtf8("nonce")))
                    .build();

            try (Socket socket = connect(b)) {
                write(socket, hello.toByteArray());
                Envelope answer = read(socket);

                assertEquals(PeerCodec.PROTOCOL_VERSION, answer.getProtocolVersion());
                assertTrue(answer.getChallenge().getProof().isEmpty());
                assertEquals(-1, socket.getInputStream().read());
            }
        }

        @Test
        void requestBeforeTheProofAndAnOverlongFirstFrameAreDisconnected() throws Exception {
            NettyPeerTransport b = start("b", KEY);
            Envelope request = PeerCodec.envelope("a").setRequest(leave()).build();

            try (Socket early = connect(b);
                    Socket overlong = connect(b)) {
                write(early, request.toByteArray());
                write(overlong, new byte[100_000]);

                assertEquals(-1, readOrReset(early));
                assertEquals(-1, readOrReset(overlong));
            }
        }

        private static Socket connect(NettyPeerTransport transport) throws Exception {
            return new Socket(
                    transport.listenAddress().getAddress(),
                    transport.listenAddress().getPort());
        }

        private static void write(Socket socket, byte[] frame) throws Exception {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
        }

        private static Envelope read(Socket socket) throws Exception {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            return Envelope.parseFrom(in.readNBytes(in.readInt()));
        }

        private static int readOrReset(Socket socket) {
            try {
                return socket.getInputStream().read();
            } catch (java.io.IOException e) {
                return -1;
            }
        }
    }
}
