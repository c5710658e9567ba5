package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fake.VirtualTime;
import baobabcroft.front.UnexpectedBytes.Kind;
import baobabcroft.relay.EndpointRequest;
import baobabcroft.relay.ExchangeListener;
import baobabcroft.relay.Header;
import baobabcroft.relay.Headers;
import baobabcroft.relay.SendFailure;
import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointConnectionTest {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nid: r-1\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int MAX_BLOCKS = 2_000;

    private final VirtualTime time = new VirtualTime();
    private final List<EndpointConnection> idle = new ArrayList<>();
    private final List<UnexpectedBytes> unexpected = new ArrayList<>();
    private final Reads reads = new Reads();
    private final EndpointConnection connection = new EndpointConnection(
            time.scheduler(),
            (id, headers) -> headers.count("id") == 1
                    && headers.first("id").filter(id::equals).isPresent(),
            idle::add,
            closed -> {},
            unexpected::add);
    private final EmbeddedChannel channel = newChannel(reads, connection);

    private static EmbeddedChannel newChannel(Reads reads, EndpointConnection connection) {
        EmbeddedChannel created = new EmbeddedChannel(reads);
        connection.handlers().forEach(created.pipeline()::addLast);
        return created;
    }

    /** Counts the reads that are asked for. */
    private static final class Reads extends ChannelDuplexHandler {
        int count;

        @Override
        public void read(ChannelHandlerContext context) {
            count++;
            context.read();
        }
    }

    /** Records what is received for one request. */
    private static final class Recorder implements ExchangeListener {
        private final List<Integer> statuses = new ArrayList<>();
        private final List<SendFailure> failures = new ArrayList<>();
        private String body = "";
        private int readsCompleted;
        private int otherHeads;
        private int doubts;
        private boolean ended;

        @Override
        public void onHead(int status, Headers headers) {
            statuses.add(status);
        }

        @Override
        public void onOtherHead(int status, Headers headers) {
            otherHeads++;
        }

        @Override
        public void onFramingInDoubt() {
            doubts++;
        }

        @Override
        public void onData(byte[] data) {
            body += new String(data, StandardCharsets.UTF_8);
        }

        @Override
        public void onReadComplete() {
            readsCompleted++;
        }

        @Override
        public void onEnd() {
            ended = true;
        }

        @Override
        public void onFailure(SendFailure failure) {
            failures.add(failure);
        }
    }

    private Recorder send(String id) {
        Recorder recorder = new Recorder();
        Headers headers = Headers.copyOf(ImmutableList.of(new Header("id", id)));
        connection.send(new EndpointConnectionPool.PendingExchange(
                new EndpointRequest(id, true, "GET", "/", headers, new byte[0]), recorder));
        return recorder;
    }

    private void receive(String text) {
        if (text.isEmpty()) {
            return;
        }
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private static String response(String id, String body) {
        return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String block() {
        return "x".repeat(16_384);
    }

    /** Receives the same text until the connection closes, at most {@link #MAX_BLOCKS} times. */
    private void receiveUntilClosed(String text) {
        for (int i = 0; i < MAX_BLOCKS && channel.isActive(); i++) {
            receive(text);
        }
    }

    @Nested
    class UnexpectedBytesAreReported {
        private void assertReported(Kind kind, String requestId) {
            assertEquals(1, unexpected.size(), unexpected.toString());
            assertEquals(kind, unexpected.get(0).kind());
            assertEquals(requestId, unexpected.get(0).requestId());
        }

        @Test
        void afterAResponse() {
            send("r-1");
            receive(response("r-1", "one") + "HTTP");
            assertReported(Kind.TRAILING, "r-1");
        }

        @Test
        void whileNoRequestIsOpen() {
            send("r-1");
            receive(response("r-1", "one"));
            receive("HTTP");
            assertReported(Kind.IDLE, "");
        }

        @Test
        void inPlaceOfTheResponse() {
            send("r-1");
            receive(response("r-0", "zero"));
            assertReported(Kind.OTHER_RESPONSE, "r-1");
        }

        @Test
        void thatAreNoResponse() {
            send("r-1");
            receive("bytes of something else\r\n\r\n");
            assertReported(Kind.MALFORMED, "r-1");
        }
    }

    @Nested
    class LateCopies {
        @Test
        void areNotTakenForTheNextResponse() {
            Recorder first = send("r-1");
            receive(response("r-1", "one"));
            Recorder second = send("r-2");
            receive(response("r-1", "one"));
            receive(response("r-2", "two"));

            assertTrue(first.ended);
            assertEquals("two", second.body);
            assertEquals(List.of(200), second.statuses);
            assertTrue(second.ended);
        }

        @Test
        void closeAnIdleConnection() {
            send("r-1");
            receive(response("r-1", "one") + response("r-1", "one"));

            assertFalse(channel.isActive());
            assertFalse(connection.isReusable());
        }

        @Test
        void closeAnIdleConnectionWhenTheyAreIncomplete() {
            send("r-1");
            receive(response("r-1", "one"));
            receive("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");

            assertFalse(connection.isReusable());
        }

        @Test
        void endAtABound() {
            send("r-1");
            receive(response("r-1", "one"));
            Recorder second = send("r-2");
            receive(CHUNKED_HEAD);
            receiveUntilClosed(chunk(block()));

            assertFalse(channel.isActive());
            assertEquals(List.of(SendFailure.ANSWER_MALFORMED), second.failures);
            assertTrue(second.failures.get(0).mayHaveRun());
        }
    }

    /** A late copy of an earlier response breaks off, and the awaited response follows on the same connection. */
    @Nested
    class TruncatedCopies {
        private static final String COPY =
                "HTTP/1.1 200 OK\r\nDate: today\r\nid: r-1\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\none";
        private static final String FAILURE =
                "HTTP/1.1 500 Internal Server Error\r\nid: r-2\r\nContent-Length: 6\r\n\r\nfailed";

        /** Returns what is received for the second request on the connection. */
        private Recorder receiveSecond(String beforeSend, String afterSend) {
            send("r-1");
            receive(response("r-1", "one"));
            receive(beforeSend);
            if (!connection.isReusable()) {
                return new Recorder();
            }
            Recorder second = send("r-2");
            receive(afterSend);
            return second;
        }

        // Guards against a success that has the status line of a truncated copy and the rest of a failure.
        @ParameterizedTest
        @MethodSource("baobabcroft.front.EndpointConnectionTest#cuts")
        void neverTurnAFailureIntoASuccess(int cut) {
            Recorder second = receiveSecond("", COPY.substring(0, cut) + FAILURE);

            assertFalse(second.statuses.contains(200), second.statuses.toString());
            boolean isWhole = second.ended && second.body.equals("failed");
            boolean hasFailed = second.failures.equals(List.of(SendFailure.ANSWER_MALFORMED));
            assertTrue(isWhole || hasFailed || second.doubts > 0, "neither the answer, nor a sign of a fault");
        }

        // Guards against bytes that the decoder holds back while they are less than a head.
        @ParameterizedTest
        @MethodSource("baobabcroft.front.EndpointConnectionTest#cuts")
        void closeAnIdleConnection(int cut) {
            Recorder second = receiveSecond(COPY.substring(0, cut), FAILURE);

            assertFalse(connection.isReusable());
            assertEquals(List.of(), second.statuses);
        }

        // Guards against the reuse of a connection on which bytes follow the response in the same read.
        @ParameterizedTest
        @MethodSource("baobabcroft.front.EndpointConnectionTest#cuts")
        void keepAConnectionFromReuse(int cut) {
            send("r-1");
            receive(response("r-1", "one") + COPY.substring(0, cut));

            assertEquals(List.of(), idle);
            assertFalse(channel.isActive());
        }
    }

    /** An endpoint stops in the middle of a head and closes the connection. */
    @Nested
    class TruncatedHeads {
        private static final String RESPONSE =
                "HTTP/1.1 200 OK\r\nDate: today\r\nid: r-1\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\none";

        // Guards against a success with an empty or short body that is framed as whole.
        @ParameterizedTest
        @MethodSource("baobabcroft.front.EndpointConnectionTest#cuts")
        void areLostAtEachByte(int cut) {
            Recorder recorder = send("r-1");
            receive(RESPONSE.substring(0, cut));
            channel.finishAndReleaseAll();

            assertFalse(recorder.ended);
            assertEquals(List.of(SendFailure.CONNECTION_LOST), recorder.failures);
        }
    }

    @Nested
    class ResponsesBehindCopies {
        // Guards against a caller that waits for an answer which was skipped with a truncated copy.
        @Test
        void putTheFramingInDoubt() {
            send("r-1");
            receive(response("r-1", "one"));
            Recorder second = send("r-2");
            receive("HTTP/1.1 200 OK\r\nid: r-1\r\nContent-Length: 300\r\n\r\none" + TruncatedCopies.FAILURE);

            assertEquals(1, second.doubts);
            assertEquals(List.of(), second.statuses);
        }

        @Test
        void areNotSuspectedBehindAWholeCopy() {
            send("r-1");
            receive(response("r-1", "one"));
            Recorder second = send("r-2");
            receive(response("r-1", "one") + response("r-2", "two"));

            assertEquals(0, second.doubts);
            assertEquals("two", second.body);
        }
    }

    /** A response breaks off in its body, and the endpoint goes on with another response on the same connection. */
    @Nested
    class TruncatedBodies {
        private static final String BODY = "permit 4711 was issued; the fee has been charged";
        private static final String CHUNKED_BODY =
                CHUNKED_HEAD + chunk(BODY.substring(0, 20)) + chunk(BODY.substring(20));
        private static final String WITHOUT_ID =
                "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed";

        /** Receives the parts, and lets the time pass after which no further bytes are expected. */
        private Recorder receiveParts(String... parts) {
            Recorder recorder = send("r-1");
            for (int i = 0; i < parts.length && channel.isActive(); i++) {
                receive(parts[i]);
            }
            channel.advanceTimeBy(1, TimeUnit.SECONDS);
            channel.runScheduledPendingTasks();
            return recorder;
        }

        private void assertNotTakenForWhole(Recorder recorder) {
            boolean passedOn = recorder.ended && !recorder.body.equals(BODY);
            assertFalse(passedOn, recorder.body);
            boolean failed = recorder.failures.equals(List.of(SendFailure.ANSWER_MALFORMED));
            assertEquals(failed, !channel.isActive(), recorder.failures.toString());
        }

        // Guards against a success that has the start of the next response as the end of its body.
        @ParameterizedTest
        @MethodSource("baobabcroft.front.EndpointConnectionTest#truncatedBodies")
        void areNotFilledUpByTheNextResponse(String truncated, String next) {
            assertNotTakenForWhole(receiveParts(truncated + next));
        }

        // Guards against a check of those bytes only that were received together with the end of the body.
        @ParameterizedTest
        @MethodSource("baobabcroft.front.EndpointConnectionTest#truncatedBodies")
        void areNotFilledUpByANextResponseInManyParts(String truncated, String next) {
            assertNotTakenForWhole(receiveParts((truncated + next).split("")));
        }

        // Guards against a joined body that ends just where one read ends.
        @Test
        void areHeldBackUntilFurtherBytesCanHaveArrived() {
            String truncated = response("r-1", BODY).replaceAll(".{4}$", "");
            Recorder recorder = send("r-1");
            receive(truncated + "HTTP");
            assertFalse(recorder.ended);
            receive("/1.1 500 Internal Server Error\r\n\r\n");

            assertNotTakenForWhole(recorder);
            assertEquals(List.of(SendFailure.ANSWER_MALFORMED), recorder.failures);
        }
    }

    /** Returns responses that break off in their body, each with the response that follows. */
    static Stream<Arguments> truncatedBodies() {
        String whole = response("r-1", TruncatedBodies.BODY);
        String chunked = TruncatedBodies.CHUNKED_BODY;
        return IntStream.range(1, TruncatedBodies.BODY.length())
                .boxed()
                .flatMap(missing -> Stream.of(
                        Arguments.of(whole.substring(0, whole.length() - missing), whole),
                        Arguments.of(whole.substring(0, whole.length() - missing), TruncatedBodies.WITHOUT_ID),
                        Arguments.of(chunked.substring(0, chunked.length() - missing), chunked + "0\r\n\r\n"),
                        Arguments.of(chunked.substring(0, chunked.length() - missing), whole),
                        Arguments.of(chunked.substring(0, chunked.length() - missing), TruncatedBodies.WITHOUT_ID)));
    }

    /** A whole response is passed on, whatever its body looks like and whatever follows it. */
    @Nested
    class WholeBodies {
        private static final String QUOTE = "The server said HTTP/1.1 404 Not Found.";

        private Recorder receiveWhole(String body, String following) {
            Recorder recorder = send("r-1");
            receive(response("r-1", body) + following);
            return recorder;
        }

        // Guards against the loss of a whole response because of the bytes behind it.
        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200 OK\r\n\r\n", "H", "\r\n", "some other bytes"})
        void endThoughBytesFollow(String following) {
            Recorder recorder = receiveWhole("end with HTTP/1.H", following);

            assertEquals("end with HTTP/1.H", recorder.body);
            assertTrue(recorder.ended);
        }

        @ParameterizedTest
        @ValueSource(strings = {"H", "served over HTTP", "HTTP/1.1 20", QUOTE})
        void endAfterAShortWaitIfTheyLookLikeTheStartOfAResponse(String body) {
            Recorder recorder = receiveWhole(body, "");
            channel.advanceTimeBy(1, TimeUnit.SECONDS);
            channel.runScheduledPendingTasks();

            assertEquals(body, recorder.body);
            assertTrue(recorder.ended);
            assertEquals(List.of(connection), idle);
        }

        @Test
        void endWithTheirConnection() {
            Recorder recorder = receiveWhole(QUOTE, "");
            channel.finishAndReleaseAll();

            assertTrue(recorder.ended);
            assertEquals(List.of(), recorder.failures);
        }

        // Guards against the reuse of a connection on which bytes arrived while the end was held back.
        @Test
        void keepAConnectionFromReuseIfBytesFollowLate() {
            Recorder recorder = receiveWhole("served over HTTP", "");
            receive("HTTP/1.1 200 OK\r\n");

            assertTrue(recorder.ended);
            assertEquals(List.of(), idle);
            assertFalse(channel.isActive());
        }
    }

    static IntStream cuts() {
        return IntStream.range(1, TruncatedCopies.COPY.length());
    }

    /** Responses without the id of the request, which belong to no request that is open. */
    @Nested
    class ResponsesOfNobody {
        private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

        // Guards against the delivery of additional bytes of an endpoint as the answer of the next request.
        @Test
        void areNotTakenForTheAnswer() {
            Recorder recorder = send("r-1");
            receive(NOT_FOUND);
            receive(response("r-1", "one"));

            assertEquals(List.of(200), recorder.statuses);
            assertEquals(1, recorder.otherHeads);
            assertEquals("one", recorder.body);
        }

        // Guards against trust in the framing of a connection on which something unexpected came.
        @Test
        void keepAConnectionFromReuse() {
            send("r-1");
            receive(NOT_FOUND);
            receive(response("r-1", "one"));

            assertEquals(List.of(), idle);
            assertFalse(channel.isActive());
        }

        @Test
        void includeThoseWithTwoIds() {
            Recorder recorder = send("r-1");
            receive("HTTP/1.1 200 OK\r\nid: r-1\r\nid: r-0\r\nContent-Length: 0\r\n\r\n");

            assertEquals(List.of(), recorder.statuses);
        }
    }

    /** A response with neither a length nor chunks ends with its connection. */
    @Nested
    class UndelimitedResponses {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nid: r-1\r\n\r\n";

        @Test
        void endWhenTheConnectionIsClosed() {
            Recorder recorder = send("r-1");
            receive(HEAD + "one");
            assertFalse(recorder.ended);
            channel.finishAndReleaseAll();

            assertEquals("one", recorder.body);
            assertTrue(recorder.ended);
            assertFalse(connection.isReusable());
        }

        // Guards against a success with an empty body from an endpoint that stopped after the head of its response.
        @Test
        void failWhenTheConnectionIsClosedBeforeTheBody() {
            Recorder recorder = send("r-1");
            receive(HEAD);
            channel.finishAndReleaseAll();

            assertFalse(recorder.ended);
            assertEquals(List.of(SendFailure.CONNECTION_LOST), recorder.failures);
        }

        @Test
        void endWithoutABodyIfTheStatusHasNone() {
            Recorder recorder = send("r-1");
            receive("HTTP/1.1 204 No Content\r\nid: r-1\r\n\r\n");

            assertTrue(recorder.ended);
        }

        @Test
        void failWhenTheConnectionIsReset() {
            Recorder recorder = send("r-1");
            receive(HEAD + "one");
            channel.pipeline().fireExceptionCaught(new IOException("connection reset"));
            channel.finishAndReleaseAll();

            assertFalse(recorder.ended);
            assertEquals(List.of(SendFailure.CONNECTION_LOST), recorder.failures);
        }
    }

    /** Heads whose lines are folded, which a parser joins in a time that grows with the square of the head. */
    @Nested
    class FoldedHeads {
        // Guards against a process that stops while it joins the lines of a head.
        @Test
        void areMalformed() {
            Recorder recorder = send("r-1");
            receive("HTTP/1.1 200 OK\r\nid: r-1\r\nnote: a\r\n b\r\nContent-Length: 0\r\n\r\n");

            assertEquals(List.of(SendFailure.ANSWER_MALFORMED), recorder.failures);
            assertFalse(channel.isActive());
        }

        @Test
        void areSeenBeforeTheyAreComplete() {
            Recorder recorder = send("r-1");
            receive("HTTP/1.1 200 OK\r\nnote: a\r\n");
            receive("\tb\r\n");

            assertEquals(List.of(SendFailure.ANSWER_MALFORMED), recorder.failures);
        }
    }

    /** Bytes that are not a response and come without end. */
    @Nested
    class EndlessBytes {
        private Recorder receiveEndless(String start, String repeated) {
            Recorder recorder = send("r-1");
            receive(start);
            receiveUntilClosed(repeated);
            return recorder;
        }

        private void assertFailed(Recorder recorder) {
            assertFalse(channel.isActive());
            assertEquals(List.of(SendFailure.ANSWER_MALFORMED), recorder.failures);
            assertTrue(recorder.failures.get(0).mayHaveRun());
        }

        @Test
        void closeTheConnectionInTheStatusLine() {
            assertFailed(receiveEndless("", block()));
        }

        // Guards against bytes that a decoder skips before a status line.
        @Test
        void closeTheConnectionBeforeTheStatusLine() {
            assertFailed(receiveEndless("", "\r\n".repeat(8_192)));
        }

        @Test
        void closeTheConnectionInAHeader() {
            assertFailed(receiveEndless("HTTP/1.1 200 OK\r\nfield: ", block()));
        }

        @Test
        void closeTheConnectionInHeaders() {
            assertFailed(receiveEndless("HTTP/1.1 200 OK\r\n", "field: value\r\n".repeat(500)));
        }

        @Test
        void closeTheConnectionInAChunkSize() {
            assertFailed(receiveEndless(CHUNKED_HEAD + "1;", block()));
        }

        @Test
        void closeTheConnectionInTrailers() {
            assertFailed(receiveEndless(CHUNKED_HEAD + "0\r\n", "field: value\r\n".repeat(500)));
        }

        @Test
        void closeTheConnectionInInformationalResponses() {
            assertFailed(receiveEndless("", "HTTP/1.1 103 Early Hints\r\n\r\n"));
        }
    }

    @Nested
    class ReadsAtIntervals {
        private static final long INTERVAL_MILLIS = 50;

        @Test
        void untilTheResponseEnds() {
            Recorder recorder = send("r-1");
            receive(CHUNKED_HEAD + chunk("a"));
            connection.readEvery(INTERVAL_MILLIS);
            assertFalse(channel.config().isAutoRead());
            receive(chunk("b"));
            int readsBefore = reads.count;
            time.advance(INTERVAL_MILLIS - 1);
            assertEquals(readsBefore, reads.count);
            time.advance(1);
            assertEquals(readsBefore + 1, reads.count);
            receive(chunk("c") + "0\r\n\r\n");

            assertEquals("abc", recorder.body);
            assertTrue(recorder.ended);
            assertTrue(channel.config().isAutoRead());
        }

        @Test
        void reportsTheEndOfEachRead() {
            Recorder recorder = send("r-1");
            receive(CHUNKED_HEAD + chunk("a") + chunk("b"));
            assertEquals(1, recorder.readsCompleted);
            receive(chunk("c"));

            assertEquals(2, recorder.readsCompleted);
        }
    }
}
