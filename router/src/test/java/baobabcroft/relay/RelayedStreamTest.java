package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.memory.MemoryUse;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import baobabcroft.retry.RetryBudget;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Streams of events, their resumption, and answers without end. */
class RelayedStreamTest {
    private final RelayFixture relay = RelayFixture.create();
    private final Caller caller = new Caller();

    /** Bytes that come without end, in an event or in the body of an answer. */
    @Nested
    class EndlessAnswers {
        private static final int BLOCK_BYTES = 1 << 18;
        private static final int MAX_BLOCKS = 200;

        private SentRequest receiveEndless(String target) {
            relay.start(target, caller);
            SentRequest sent = relay.lastRequest();
            sent.head(200);
            for (int i = 0; i < MAX_BLOCKS && !sent.cancelled; i++) {
                sent.data("x".repeat(BLOCK_BYTES));
            }
            return sent;
        }

        @Test
        void endTheAttemptInAnEvent() {
            SentRequest sent = receiveEndless("/chat/1");

            assertTrue(sent.cancelled);
            assertNotEquals(sent, relay.lastRequest());
        }

        /** Guards against memory exhaustion: ten answers within their own limits exceed the heap together. */
        @Test
        void ofTenEndpointsAtATimeStayWithinTheMemoryForAnswers() {
            int endpoints = 10;
            List<SentRequest> endless = new ArrayList<>();
            for (int i = 0; i < endpoints; i++) {
                relay.start("/order/" + i, new Caller());
                endless.add(relay.lastRequest());
                relay.lastRequest().head(200);
            }
            Map<SentRequest, Long> heldBytes = new HashMap<>();
            long mostBytes = 0;
            for (int block = 0; block < MAX_BLOCKS; block++) {
                for (SentRequest sent : endless) {
                    if (!sent.cancelled) {
                        sent.data("x".repeat(BLOCK_BYTES));
                        heldBytes.merge(sent, sent.cancelled ? 0L : BLOCK_BYTES, (a, b) -> b == 0 ? 0 : a + b);
                    }
                }
                mostBytes = Math.max(
                        mostBytes,
                        heldBytes.values().stream().mapToLong(Long::longValue).sum());
            }
            relay.start("/order/small", caller);
            relay.lastRequest().answer(200, "done");

            assertTrue(endless.stream().allMatch(sent -> sent.cancelled));
            assertTrue(
                    mostBytes <= RelayFixture.MAX_ANSWER_MEMORY_BYTES + (long) endpoints * BLOCK_BYTES,
                    mostBytes + " bytes");
            assertEquals("done", caller.body);
        }

        /**
         * Guards against memory exhaustion: events without an end, each within its own limit, exceed the heap
         * together.
         */
        @Test
        void inEventsOfManyEndpointsStayWithinTheMemoryForEvents() {
            int streams = 60;
            List<SentRequest> endless = new ArrayList<>();
            for (int i = 0; i < streams; i++) {
                relay.start("/chat/" + i, new Caller());
                endless.add(relay.lastRequest());
                relay.lastRequest().head(200);
            }
            long mostBytes = 0;
            for (int part = 0; part < 3; part++) {
                for (SentRequest sent : endless) {
                    sent.data("x".repeat(BLOCK_BYTES));
                    mostBytes = Math.max(mostBytes, relay.memory.usedBytes(MemoryUse.EVENT));
                }
            }

            assertTrue(endless.stream().anyMatch(sent -> sent.cancelled));
            assertTrue(endless.stream().anyMatch(sent -> !sent.cancelled));
            assertTrue(mostBytes <= RelayFixture.MAX_ANSWER_MEMORY_BYTES, mostBytes + " bytes");
        }

        /** Guards against a buffer that stays as large as the largest event of its stream. */
        @Test
        void leaveNoMemoryWithACompleteEvent() {
            relay.start("/chat/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().data("id: 1\ndata: " + "x".repeat(BLOCK_BYTES));
            assertTrue(relay.memory.usedBytes(MemoryUse.EVENT) >= BLOCK_BYTES);
            relay.lastRequest().data("\n\n");

            assertTrue(relay.memory.usedBytes(MemoryUse.EVENT) < BLOCK_BYTES / 8);
        }

        /** Guards against an answer of known length that is held twice, in a buffer that doubles. */
        @Test
        void ofKnownLengthTakeTheirMemoryAtOnceAndGiveItBack() {
            relay.start("/order/1", caller);
            relay.lastRequest().head(200, new Header("Content-Length", Integer.toString(BLOCK_BYTES)));
            relay.lastRequest().data("x");
            assertEquals(BLOCK_BYTES, relay.memory.usedBytes(MemoryUse.ANSWER));
            relay.lastRequest().data("x".repeat(BLOCK_BYTES - 1));
            relay.lastRequest().listener.onEnd();

            assertEquals("x".repeat(BLOCK_BYTES), caller.body);
            assertEquals(0, relay.memory.usedBytes(MemoryUse.ANSWER));
        }

        /** Guards against memory exhaustion by answers that take up more memory than is counted. */
        @Test
        void ofUnknownLengthCountAsTheBlocksThatHoldThem() {
            relay.start("/order/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().data("x");
            long firstBlockBytes = relay.memory.usedBytes(MemoryUse.ANSWER);
            relay.lastRequest().data("x");

            assertTrue(firstBlockBytes > 2, firstBlockBytes + " bytes");
            assertEquals(firstBlockBytes, relay.memory.usedBytes(MemoryUse.ANSWER));
        }

        @Test
        void endTheAttemptInABodyAndDoNotRepeatAnOrder() {
            SentRequest sent = receiveEndless("/order/1");

            assertTrue(sent.cancelled);
            assertEquals(1, relay.sentRequests.size());
            assertEquals(502, caller.status);
        }
    }

    @Nested
    class Streams {
        @Test
        void resumesAtAnotherEndpointAfterTheLastCompleteEvent() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200, new Header("from", "first"));
            first.event(1);
            first.data("id: 2\ndata: hal");
            first.listener.onFailure(SendFailure.CONNECTION_LOST);
            SentRequest second = relay.lastRequest();
            second.head(200, new Header("from", "second"));
            second.event(2);
            second.listener.onEnd();

            assertEquals(Optional.of("1"), second.request.headers().first("resume-after"));
            assertEquals(Optional.of("first"), caller.headers.first("from"));
            assertEquals("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", caller.body);
            assertTrue(caller.ended);
            assertEquals(1, caller.answers);
        }

        /** Each write to a caller costs about as much as a batch of events. */
        @Test
        void sendsTheEventsOfOneReadTogether() {
            relay.start("/chat/1", caller);
            SentRequest sent = relay.lastRequest();
            sent.head(200);
            for (int id = 1; id <= 3; id++) {
                sent.listener.onData(event(id));
            }
            assertEquals(0, caller.writes);
            sent.listener.onReadComplete();

            assertEquals(1, caller.writes);
            assertEquals("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n", caller.body);
        }

        @Test
        void sendsReceivedEventsBeforeTheStreamIsCutOff() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            first.event(1);
            relay.budget = RetryBudget.of(0, 1, 0);
            first.listener.onData(event(2));
            first.listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", caller.body);
            assertTrue(caller.aborted);
        }

        private static byte[] event(long id) {
            return ("id: " + id + "\ndata: piece " + id + "\n\n").getBytes(StandardCharsets.UTF_8);
        }

        /** Bytes that carry no data keep a connection alive, not a stream. */
        @Test
        void resumesAStreamThatSendsOnlyCommentsAndRepetitions() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            first.event(1);
            for (int i = 0; i < 20 && !first.cancelled; i++) {
                relay.advance(200);
                first.data(": still here\n\n");
                first.data("data:\n\n");
                first.event(1);
            }

            assertTrue(first.cancelled);
            relay.lastRequest().head(200);
            relay.lastRequest().event(2);
            assertTrue(caller.body.endsWith("id: 2\ndata: piece 2\n\n"), caller.body);
        }

        @Test
        void keepsASlowStreamWhoseEventsArriveWithinItsBound() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            for (int id = 1; id <= 2; id++) {
                relay.advance(1_900);
                first.event(id);
            }

            assertFalse(first.cancelled);
        }

        @Test
        void resumesAStreamThatEndsInTheMiddleOfAnEvent() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            first.event(1);
            first.data("id: 2\n");
            first.listener.onEnd();

            assertFalse(caller.ended);
            assertEquals(2, relay.sentRequests.size());
        }

        // Guards against events of another stream in a stream whose connection goes on with a copy of that one.
        @Test
        void resumesAStreamThatGoesOnWithTheHeadOfAnotherAnswer() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            first.event(1);
            first.data("id: 2\ndata: piHTTP/1.1 200 OK\r\nid: r-0\r\n\r\n");

            assertEquals("id: 1\ndata: piece 1\n\n", caller.body);
            assertEquals(2, relay.sentRequests.size());
        }

        // Guards against an event that breaks off and goes on with an answer that names no request.
        @Test
        void resumesAStreamThatGoesOnWithAnAnswerToNoRequest() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            first.event(1);
            first.data("id: 2\ndata: piHTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");

            assertEquals("id: 1\ndata: piece 1\n\n", caller.body);
            assertEquals(2, relay.sentRequests.size());
        }

        /** An endpoint may hang in the middle of a stream while its connection stays open. */
        @Test
        void resumesAnInactiveStreamAtAnotherEndpoint() {
            relay.start("/chat/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().event(1);
            relay.advance(3_300);
            relay.lastRequest().head(200);
            relay.lastRequest().event(2);
            relay.lastRequest().listener.onEnd();

            assertEquals(2, relay.sentRequests.size());
            assertTrue(relay.sentRequests.get(0).cancelled);
            assertTrue(caller.ended);
        }

        @Test
        void dropsEventsThatTheCallerAlreadyHas() {
            relay.start("/chat/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().event(1);
            relay.lastRequest().event(1);
            relay.lastRequest().event(2);

            assertEquals("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", caller.body);
        }

        /** Guards against ORDER and MIXED: the error of the next endpoint would be part of the caller's stream. */
        @Test
        void keepsErrorsOfOtherEndpointsOutOfStreamsThatHaveBegun() {
            for (String error : List.of("overloaded", "id: 2\ndata: overloaded\n\n", "HTTP/1.1 500 Error\r\n\r\n")) {
                assertBrokenOffAfterFirstEvent(500, error);
            }
        }

        /** Guards against ORDER and MIXED: an error that is sent with the status of a success. */
        @Test
        void takesNoEventWithoutIdIntoAStreamOfEventsWithIds() {
            for (String error : List.of("overloaded\n\n", "HTTP/1.1 500 Error\r\n\r\n", "data: overloaded\n\n")) {
                assertBrokenOffAfterFirstEvent(200, error);
            }
        }

        /** A stream breaks off after its first event, and all other endpoints answer with the given error. */
        private void assertBrokenOffAfterFirstEvent(int status, String error) {
            RelayFixture fixture = RelayFixture.create();
            Caller streamCaller = new Caller();
            fixture.start("/chat/1", streamCaller);
            fixture.lastRequest().head(200);
            fixture.lastRequest().event(1);
            fixture.lastRequest().listener.onFailure(SendFailure.CONNECTION_LOST);
            for (int answered = 1; answered < fixture.sentRequests.size(); answered++) {
                fixture.lastRequest().answer(status, error);
            }

            assertEquals("id: 1\ndata: piece 1\n\n", streamCaller.body);
            assertFalse(streamCaller.ended);
            assertTrue(streamCaller.aborted);
            assertEquals(1, streamCaller.answers);
        }

        @Test
        void resumesAtAnotherEndpointWhenEventsAreMissing() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            first.event(1);
            first.event(3);

            assertTrue(first.cancelled);
            assertEquals(2, relay.sentRequests.size());
            assertEquals("id: 1\ndata: piece 1\n\n", caller.body);
        }

        @Test
        void cancelsTheAttemptWhenTheCallerDisconnects() {
            RelayedRequest request = relay.start("/chat/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().event(1);
            request.onCallerDisconnected();

            assertTrue(relay.lastRequest().cancelled);
            assertTrue(request.isDone());
        }

        @Test
        void abortsAStreamAtTheDeadline() {
            relay.start("/chat/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().event(1);
            relay.advance(5_000);

            assertTrue(caller.aborted);
            assertFalse(caller.ended);
        }

        @Test
        void reportsAConnectionLostBeforeTheFirstOutput() {
            relay.start("/chat/1", caller);
            String endpoint = relay.lastRequest().endpoint.id();
            relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(java.util.List.of(endpoint), relay.lostEndpoints);
        }

        /** Guards against BUDGET: a stream that crashes its endpoints long after its first event is never stopped. */
        @Test
        void reportsAConnectionLostLongAfterTheFirstOutput() {
            relay.start("/chat/1", caller);
            SentRequest sent = relay.lastRequest();
            sent.head(200);
            sent.event(1);
            relay.advance(1_000);
            sent.event(2);
            sent.listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(java.util.List.of(sent.endpoint.id()), relay.lostEndpoints);
        }

        /** Guards against BUDGET: a stream that is what crashes its endpoints is resumed at the next one. */
        @Test
        void doesNotResumeAStreamThatHasBecomePoison() {
            relay.start("/chat/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().event(1);
            relay.advance(1_000);
            relay.poison = true;
            relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(1, relay.sentRequests.size());
            assertTrue(caller.aborted);
        }
    }
}
