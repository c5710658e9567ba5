package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.memory.MemoryBudget;
import baobabcroft.memory.MemoryUse;
import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.Headers;
import baobabcroft.relay.RequestInProgress;
import baobabcroft.routing.CallerLimits;
import baobabcroft.testing.FreePorts;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests that need more memory together than the instance has. */
class RequestMemoryTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int CAPACITY_BYTES = 4 << 20;
    /** Three of these are all that bodies may take. */
    private static final int BODY_BYTES = 1 << 20;

    private static final int BODIES_AT_ONCE = 3;
    private static final long HEADER_TIMEOUT_MILLIS = 2_000;
    private static final CallerLimits LIMITS = new CallerLimits(16_384, 4_194_304, HEADER_TIMEOUT_MILLIS, 60_000);
    private static final String OK = "HTTP/1.1 200 OK";
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable";

    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final HostAndPort address = HostAndPort.fromParts("127.0.0.1", new FreePorts().next());
    private final MemoryBudget memory = MemoryBudget.create(CAPACITY_BYTES);
    private final List<CallerExchange> unanswered = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final FrontServer server;
    private volatile long nowMillis;
    private int received;

    RequestMemoryTest() {
        server = FrontServer.start(loop, address, 0, () -> LIMITS, memory, () -> nowMillis, this::receive);
    }

    /** Answers requests for "/now", and leaves others open. */
    private RequestInProgress receive(CallerRequest request, CallerExchange caller) {
        received++;
        boolean atOnce = request.target().equals("/now");
        if (atOnce) {
            caller.answer(200, Headers.EMPTY, new byte[0]);
        } else {
            unanswered.add(caller);
        }
        return new RequestInProgress() {
            @Override
            public boolean isDone() {
                return atOnce;
            }

            @Override
            public void onCallerDisconnected() {
                // No endpoint works on the request.
            }
        };
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void await(String what, long expected, LongSupplier actual) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        long[] seen = {-1};
        while (seen[0] != expected) {
            assertTrue(System.nanoTime() < deadlineNanos, what + ": " + seen[0]);
            onLoop(() -> seen[0] = actual.getAsLong());
        }
    }

    private void onLoop(Runnable task) {
        loop.next().submit(task).syncUninterruptibly();
    }

    private void awaitBodyBytes(long expected) {
        await("bytes of bodies", expected, () -> memory.usedBytes(MemoryUse.REQUEST_BODY));
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket(address.getHost(), address.getPort());
        sockets.add(socket);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        send(socket, text);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Socket sendHead(String target, int bodyBytes, String... headers) throws IOException {
        List<String> lines = new ArrayList<>(List.of(headers));
        lines.add("Content-Length: " + bodyBytes);
        return send(head(target, lines));
    }

    private static String head(String target, List<String> headers) {
        return "POST " + target + " HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
                + String.join("\r\n", headers) + "\r\n\r\n";
    }

    private Socket sendChunked(int bodyBytes) throws IOException {
        int chunkBytes = bodyBytes / 8;
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        Socket socket = send(head("/now", List.of("Transfer-Encoding: chunked")));
        send(socket, chunk.repeat(8) + "0\r\n\r\n");
        return socket;
    }

    private List<Socket> sendHalfBodies(int count) throws IOException {
        List<Socket> halves = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket socket = sendHead("/now", BODY_BYTES);
            send(socket, "x".repeat(BODY_BYTES / 2));
            halves.add(socket);
        }
        return halves;
    }

    /** Reads until the server closes the connection. */
    private static String response(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static String statusLine(Socket socket) throws IOException {
        return response(socket).lines().findFirst().orElse("closed without a response");
    }

    @Nested
    class Bodies {
        /** Guards against the memory exhaustion of review case 1: each body within its own limit, too many together. */
        @Test
        void thatDoNotFitAreRefusedBeforeTheyAreReceived() throws IOException {
            sendHalfBodies(BODIES_AT_ONCE);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            Socket late = sendHead("/now", BODY_BYTES);
            send(late, "x".repeat(BODY_BYTES));
            String refusal = response(late);

            assertTrue(refusal.startsWith(UNAVAILABLE), refusal);
            assertTrue(refusal.toLowerCase(Locale.ROOT).contains("retry-after: 1"), refusal);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            assertEquals(0, received);
        }

        /**
         * Guards against a header timeout in the rest of a refused body, which cuts the caller off from the response.
         */
        @Test
        void thatAreRefusedAreDiscardedWithoutAHeaderTimeout() throws IOException {
            sendHalfBodies(BODIES_AT_ONCE);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            Socket late = sendHead("/now", BODY_BYTES);
            await("refusals", 1, () -> memory.refusals(MemoryUse.REQUEST_BODY));
            send(late, "x");
            loop.next()
                    .schedule(() -> {}, 2 * HEADER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .syncUninterruptibly();
            send(late, "x".repeat(BODY_BYTES - 1));

            assertEquals(
                    1,
                    response(late)
                            .lines()
                            .filter(line -> line.startsWith("HTTP/1.1 "))
                            .count());
        }

        /** Guards against connections that all hold half a body and wait for each other. */
        @Test
        void thatHaveBegunAreCompleted() throws IOException {
            List<Socket> halves = sendHalfBodies(BODIES_AT_ONCE);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            for (Socket half : halves) {
                send(half, "x".repeat(BODY_BYTES / 2));
            }

            for (Socket half : halves) {
                assertEquals(OK, statusLine(half));
            }
            awaitBodyBytes(0);
        }

        @Test
        void thatWaitAreReceivedOnceOthersHaveEnded() throws IOException {
            List<Socket> halves = sendHalfBodies(BODIES_AT_ONCE);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            Socket waiting = sendHead("/now", BODY_BYTES);
            await("waiting bytes", BODY_BYTES, memory::waitingBytes);
            halves.get(0).close();
            send(waiting, "x".repeat(BODY_BYTES));

            assertEquals(OK, statusLine(waiting));
        }

        @Test
        void ofUnfinishedRequestsAreReleasedWithTheirConnection() throws IOException {
            Socket open = sendHead("/later", BODY_BYTES);
            send(open, "x".repeat(BODY_BYTES));
            await("open requests", 1, unanswered::size);
            awaitBodyBytes(BODY_BYTES);
            open.close();

            awaitBodyBytes(0);
        }

        @Test
        void ofSmallRequestsAreReceivedBesideLargeOnes() throws IOException {
            sendHalfBodies(BODIES_AT_ONCE);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            Socket small = sendHead("/now", 10);
            send(small, "x".repeat(10));

            assertEquals(OK, statusLine(small));
        }

        /** Guards against bodies without a length that take the memory of all others. */
        @Test
        void withoutALengthAreRefusedOnceTheyHaveNoRoom() throws IOException {
            sendHalfBodies(BODIES_AT_ONCE);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            Socket chunked = sendChunked(BODY_BYTES);

            assertEquals(UNAVAILABLE, statusLine(chunked));
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
        }

        @Test
        void withoutALengthAreServedIfThereIsRoom() throws IOException {
            Socket chunked = sendChunked(BODY_BYTES);

            assertEquals(OK, statusLine(chunked));
            awaitBodyBytes(0);
        }

        @Test
        void overTheirOwnLimitAreRefusedByTheirStatedLength() throws IOException {
            Socket large = sendHead("/now", LIMITS.maxBodyBytes() + 1);
            send(large, "x".repeat(LIMITS.maxBodyBytes() + 1));

            assertEquals("HTTP/1.1 413 Request Entity Too Large", statusLine(large));
            assertEquals(0, received);
        }

        @Test
        void thatAreAnnouncedAreNotAskedForWithoutRoom() throws IOException {
            sendHalfBodies(BODIES_AT_ONCE);
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            Socket announced = sendHead("/now", BODY_BYTES, "Expect: 100-continue");

            assertEquals(UNAVAILABLE, statusLine(announced));
        }
    }

    /** Callers that hold memory or connections and send nothing. */
    @Nested
    class WithoutProgress {
        private static final long LATER_MILLIS = 2_000;
        /** A quarter of the memory, at 8 KB each. */
        private static final int MOST_CONNECTIONS = 128;

        /** Guards against unfinished requests that keep out others until their timeout. */
        @Test
        void areRefusedWhenOthersNeedTheirMemory() throws IOException {
            Socket first = sendHead("/now", BODY_BYTES);
            for (int i = 1; i < BODIES_AT_ONCE; i++) {
                sendHead("/now", BODY_BYTES);
            }
            awaitBodyBytes(BODIES_AT_ONCE * BODY_BYTES);
            nowMillis = LATER_MILLIS;
            Socket late = sendHead("/now", BODY_BYTES);
            send(late, "x".repeat(BODY_BYTES));

            assertEquals(OK, statusLine(late));
            String refusal = response(first);
            assertTrue(refusal.startsWith(UNAVAILABLE), refusal);
            assertTrue(refusal.toLowerCase(Locale.ROOT).contains("retry-after: 1"), refusal);
            assertEquals(1, received);
        }

        /** Guards against a limit that refuses what there is room for. */
        @Test
        void areKeptInCalm() throws IOException {
            Socket half = sendHalfBodies(1).get(0);
            awaitBodyBytes(BODY_BYTES);
            nowMillis = LATER_MILLIS;
            Socket other = sendHead("/now", BODY_BYTES);
            send(other, "x".repeat(BODY_BYTES));
            assertEquals(OK, statusLine(other));
            send(half, "x".repeat(BODY_BYTES / 2));

            assertEquals(OK, statusLine(half));
        }

        /** Guards against silent connections that take all descriptors. */
        @Test
        void areClosedWhenOthersConnect() throws IOException {
            for (int i = 0; i < MOST_CONNECTIONS; i++) {
                send("");
            }
            await("connections", MOST_CONNECTIONS, server::openConnections);
            nowMillis = LATER_MILLIS;
            Socket late = sendHead("/now", 0);

            assertEquals(OK, statusLine(late));
            onLoop(() -> assertEquals(1, server.excessConnections()));
        }

        /** Guards against a limit that refuses a single legal request: a head of 4,096 lines. */
        @Test
        void aHeadOfThousandsOfLinesIsServedInCalm() throws IOException {
            Socket socket =
                    send("GET /now HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + "g:\r\n".repeat(4_080) + "\r\n");

            assertEquals(OK, statusLine(socket));
            await("bytes of heads", 0, () -> memory.usedBytes(MemoryUse.REQUEST_HEAD));
        }
    }

    @Nested
    class Responses {
        private static final int BLOCK_BYTES = 64 << 10;
        /** More than the buffers of a loopback connection take. */
        private static final int BLOCKS = 512;

        private CallerExchange startStream(int number) throws IOException {
            sendHead("/later", 0);
            await("open requests", number, unanswered::size);
            CallerExchange caller = unanswered.get(number - 1);
            onLoop(() -> caller.startStream(200, Headers.EMPTY));
            return caller;
        }

        /** Writes more than the caller takes; returns the most bytes that were held for all callers. */
        private long overfill(CallerExchange caller) {
            long[] mostBytes = {0};
            onLoop(() -> {
                for (int i = 0; i < BLOCKS; i++) {
                    caller.streamData(new byte[BLOCK_BYTES]);
                    mostBytes[0] = Math.max(mostBytes[0], memory.usedBytes(MemoryUse.UNSENT));
                }
            });
            return mostBytes[0];
        }

        /** Guards against memory exhaustion: slow callers, each within its own limit, exceed the heap together. */
        @Test
        void forSlowCallersAreBoundedTogether() throws IOException {
            List<CallerExchange> callers = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                callers.add(startStream(i));
            }
            long mostBytes = 0;
            for (CallerExchange caller : callers) {
                mostBytes = Math.max(mostBytes, overfill(caller));
            }

            assertTrue(mostBytes > BLOCK_BYTES, mostBytes + " bytes");
            assertTrue(mostBytes <= CAPACITY_BYTES, mostBytes + " bytes");
        }

        /** Guards against memory that is counted as taken after its connection has ended. */
        @Test
        void giveTheirMemoryBack() throws IOException {
            overfill(startStream(1));
            sockets.get(0).close();

            await("unsent bytes", 0, () -> memory.usedBytes(MemoryUse.UNSENT));
        }
    }

    @Nested
    class PipelinedRequests {
        private static final int CONNECTIONS = 120;
        /** One read of a connection, which is decoded whole. */
        private static final int READ_BYTES = 64 << 10;

        /** Guards against memory exhaustion by requests that are sent while an earlier one is served. */
        @Test
        void areReadAsFarAsTheirMemoryAllows() throws IOException {
            String note = "note: " + "x".repeat(12_000);
            for (int i = 0; i < CONNECTIONS; i++) {
                send("GET /later HTTP/1.1\r\nHost: shop.example\r\n\r\n");
            }
            await("open requests", CONNECTIONS, unanswered::size);
            for (Socket socket : sockets) {
                send(socket, ("GET /now HTTP/1.1\r\nHost: shop.example\r\n" + note + "\r\n\r\n").repeat(12));
            }
            await("full", 1, () -> isFull() ? 1 : 0);

            onLoop(() -> assertBounded(usedBytes()));
        }

        /** Heads that are not decoded yet count as heads, also if an earlier request is served. */
        private long usedBytes() {
            return memory.usedBytes(MemoryUse.PIPELINED) + memory.usedBytes(MemoryUse.REQUEST_HEAD);
        }

        private boolean isFull() {
            long refusals = memory.refusals(MemoryUse.PIPELINED) + memory.refusals(MemoryUse.REQUEST_HEAD);
            return refusals > CONNECTIONS / 2 && usedBytes() > CAPACITY_BYTES / 2;
        }

        private void assertBounded(long bytes) {
            assertTrue(bytes > CAPACITY_BYTES / 2, bytes + " bytes");
            assertTrue(bytes <= CAPACITY_BYTES + CONNECTIONS * READ_BYTES, bytes + " bytes");
        }

        @Test
        void areServedInTheirTurn() throws IOException {
            Socket socket = send("GET /later HTTP/1.1\r\nHost: shop.example\r\n\r\n");
            await("open requests", 1, unanswered::size);
            send(socket, "GET /now HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n");
            await("kept", 1, () -> memory.usedBytes(MemoryUse.PIPELINED) > 0 ? 1 : 0);
            onLoop(() -> unanswered.get(0).answer(204, Headers.EMPTY, new byte[0]));

            assertTrue(response(socket).contains(OK));
            await("kept", 0, () -> memory.usedBytes(MemoryUse.PIPELINED));
        }
    }
}
