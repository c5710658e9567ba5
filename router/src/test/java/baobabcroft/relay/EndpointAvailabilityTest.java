package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.RelayFixture.Caller;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointAvailabilityTest {
    private static final Header LEAVING = new Header("leaving", "1");
    private static final Header NOT_RUN = new Header("not-run", "1");

    private final RelayFixture relay = RelayFixture.create();

    private static final long MAX_EXTENSION_OF_TWO_SECONDS = 500;
    private static final long MAX_RETURN_MILLIS = 500;

    private static Header pause(String seconds) {
        return new Header("pause", seconds);
    }

    /** Sends a request that is answered at once and returns the endpoint that it went to. */
    private String endpointOfNextRequest() {
        relay.start("/order/1", new Caller());
        String endpoint = relay.lastRequest().endpoint.id();
        relay.lastRequest().answer(200, "done");
        return endpoint;
    }

    @Nested
    class Leaving {
        private EndpointEntry leave() {
            relay.start("/order/1", new Caller());
            EndpointEntry endpoint = relay.lastRequest().endpoint;
            relay.lastRequest().answer(200, "done", LEAVING);
            return endpoint;
        }

        /** Guards against DRAIN: the endpoint list reports the shutdown later than the endpoint's answers. */
        @Test
        void endpointGetsNothingNewAlthoughItIsListed() {
            EndpointEntry leaving = leave();
            relay.directory.put(leaving);

            for (int i = 0; i < 20; i++) {
                assertNotEquals(leaving.id(), endpointOfNextRequest());
            }
            assertEquals(List.of("leaving " + leaving.id()), relay.statements);
        }

        @Test
        void isStatedByRejectionsAndFailures() {
            relay.start("/order/1", new Caller());
            relay.lastRequest().answer(503, "", NOT_RUN, LEAVING);
            String second = relay.lastRequest().endpoint.id();
            relay.lastRequest().answer(500, "", LEAVING);
            String third = endpointOfNextRequest();

            assertNotEquals(second, third);
            assertEquals(2, relay.statements.size());
        }

        /** The answer belongs to an earlier request on the connection and is skipped. */
        @Test
        void isStatedByAnswersToOtherRequests() {
            relay.start("/order/1", new Caller());
            String endpoint = relay.lastRequest().endpoint.id();
            relay.lastRequest().listener.onOtherHead(200, Headers.copyOf(List.of(LEAVING)));
            relay.lastRequest().answer(200, "done");

            assertNotEquals(endpoint, endpointOfNextRequest());
        }

        @Test
        void endsWithTheNextStart() {
            EndpointEntry leaving = leave();
            relay.directory.put(RelayFixture.restarted(leaving));

            assertTrue(relay.availability.isAvailable(RelayFixture.restarted(leaving)));
            assertFalse(relay.availability.isAvailable(leaving));
        }

        @Test
        void runningStreamEndsNormally() {
            Caller caller = new Caller();
            relay.start("/chat/1", caller);
            relay.lastRequest().head(200, LEAVING);
            relay.lastRequest().event(0);
            relay.lastRequest().listener.onEnd();

            assertTrue(caller.ended);
            assertEquals(1, relay.sentRequests.size());
        }

        @Test
        void callerIsRefusedAtOnceIfAllEndpointsLeave() {
            leave();
            leave();
            leave();
            Caller caller = new Caller();
            relay.start("/order/1", caller);

            assertTrue(caller.ended);
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
            assertEquals(Execution.NOT_RUN, relay.summaries.get(3).execution());
        }
    }

    @Nested
    class Pauses {
        private static final long HALF_EXTENSION_OF_TWO_SECONDS = 250;

        private EndpointEntry pauseOnce(String seconds) {
            relay.start("/order/1", new Caller());
            EndpointEntry endpoint = relay.lastRequest().endpoint;
            relay.lastRequest().answer(503, "", NOT_RUN, pause(seconds));
            relay.lastRequest().answer(200, "done");
            return endpoint;
        }

        /** Guards against BUDGET: a rejection with a time to come back is no invitation to try again at once. */
        @Test
        void keepRequestsAwayUntilTheyEnd() {
            EndpointEntry paused = pauseOnce("2");
            for (int i = 0; i < 20; i++) {
                assertNotEquals(paused.id(), endpointOfNextRequest());
            }
            relay.advance(2_000 + HALF_EXTENSION_OF_TWO_SECONDS);

            assertTrue(relay.availability.isAvailable(paused));
        }

        @Test
        void acceptFractions() {
            EndpointEntry paused = pauseOnce("0.5");

            assertFalse(relay.availability.isAvailable(paused));
            assertEquals(List.of("paused " + paused.id() + " 500"), relay.statements);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"-1", "soon", "", "1e9", "NaN", "1.2.3", "Fri, 04 Dec 2026 10:00:00 GMT", "12345678901"})
        void ignoreWhatIsNoNumberOfSeconds(String value) {
            EndpointEntry rejecting = pauseOnce(value);

            assertTrue(relay.availability.isAvailable(rejecting));
            assertEquals(List.of("unreadable " + rejecting.id() + ' ' + value), relay.statements);
        }

        @Test
        void areLimitedByTheOperator() {
            EndpointEntry paused = pauseOnce("86400");

            assertEquals(List.of("capped " + paused.id() + " 60000"), relay.statements);
            relay.advance(62_000);
            assertTrue(relay.availability.isAvailable(paused));
        }

        @Test
        void areNotCutShortByALaterShorterOne() {
            relay.start("/order/1", new Caller());
            RelayFixture.SentRequest first = relay.lastRequest();
            EndpointEntry endpoint = first.endpoint;
            relay.availability.onAnswer(endpoint, answerWithPause("5"), 0);
            relay.availability.onAnswer(endpoint, answerWithPause("0.1"), 0);
            relay.advance(1_000);

            assertFalse(relay.availability.isAvailable(endpoint));
        }

        @Test
        void areNotProlongedByASecondCopyOfTheAnswer() {
            EndpointEntry paused = pauseOnce("2");
            relay.advance(1_000);
            relay.availability.onOtherAnswer(paused, answerWithPause("2"));
            relay.advance(1_000 + HALF_EXTENSION_OF_TWO_SECONDS);

            assertTrue(relay.availability.isAvailable(paused));
        }

        @Test
        void tellCallersTheSoonestEndIfAllEndpointsPause() {
            relay.start("/order/1", new Caller());
            for (String seconds : List.of("9", "4", "7")) {
                relay.lastRequest().answer(503, "", NOT_RUN, pause(seconds));
            }
            Caller caller = new Caller();
            relay.start("/order/1", caller);
            long retryMillis =
                    Long.parseLong(caller.headers.first("retry-after-millis").orElseThrow());

            assertTrue(retryMillis >= 4_000 && retryMillis < 7_000, "retry after " + retryMillis);
            assertEquals(3, relay.sentRequests.size());
        }

        private void pauseAll(String seconds) {
            relay.start("/order/1", new Caller());
            for (int i = 0; i < 3; i++) {
                relay.lastRequest().answer(503, "", NOT_RUN, pause(seconds));
            }
        }

        @Test
        void areAwaitedIfTheCallerHasTime() {
            pauseAll("2");
            Caller caller = new Caller();
            relay.start("/order/1", caller);
            int sentBefore = relay.sentRequests.size();

            relay.advance(1_999);
            assertEquals(sentBefore, relay.sentRequests.size());
            relay.advance(MAX_EXTENSION_OF_TWO_SECONDS + MAX_RETURN_MILLIS);
            relay.lastRequest().answer(200, "done");

            assertEquals(200, caller.status);
        }

        @Test
        void areNotAwaitedIfThatTakesMostOfTheCallersTime() {
            pauseAll("2");
            Caller caller = new Caller();
            relay.start("/order/1", caller, new Header("wait", "3900"));

            assertTrue(caller.ended);
        }

        @Test
        void areNotAwaitedTwice() {
            pauseAll("0.4");
            Caller caller = new Caller();
            relay.start("/order/1", caller);
            relay.advance(100);
            for (int i = 1; i <= 3; i++) {
                relay.availability.onAnswer(RelayFixture.endpoint("orders", i), answerWithPause("1"), 0);
            }

            relay.advance(500 + MAX_RETURN_MILLIS);

            assertTrue(caller.ended);
        }

        @Test
        void areNotAwaitedByCallersThatHaveGone() {
            pauseAll("2");
            for (int i = 0; i < 100; i++) {
                relay.start("/order/1", new Caller()).onCallerDisconnected();
            }
            Caller caller = new Caller();
            relay.start("/order/1", caller);

            assertFalse(caller.ended);
        }

        private AnswerMetadata answerWithPause(String seconds) {
            return new AnswerMetadata(
                    true,
                    true,
                    false,
                    true,
                    false,
                    OptionalInt.empty(),
                    false,
                    Optional.of(seconds),
                    Optional.empty(),
                    Optional.empty());
        }
    }

    @Nested
    class Limits {
        private void answerWithLimit(String limit) {
            relay.start("/order/1", new Caller());
            relay.lastRequest().answer(200, "done", new Header("limit", limit));
        }

        @Test
        void areReportedWhenTheyChangeAndWhenTheyEnd() {
            relay.start("/order/1", new Caller());
            RelayFixture.SentRequest first = relay.lastRequest();
            String id = first.endpoint.id();
            first.answer(200, "done", new Header("limit", "2"));
            first.head(200, new Header("limit", "2"));
            first.head(200, new Header("limit", "0.5"));
            first.head(200);

            assertEquals(
                    List.of("limited " + id + " 2.0", "limited " + id + " 0.5", "limit ended " + id), relay.statements);
        }

        /** An answer that was on its way for long must not let more requests through. */
        @Test
        void areNeitherRaisedNorEndedByAnswersToEarlierRequests() {
            EndpointEntry endpoint = RelayFixture.endpoint("orders", 1);
            relay.advance(1_000);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("2")), 900);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("5")), 900);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.empty()), 999);
            relay.availability.onOtherAnswer(endpoint, answerWithLimit(Optional.of("9")));
            assertEquals(List.of("limited orders-1 2.0"), relay.statements);

            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("1")), 900);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("5")), 1_000);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.empty()), 1_000);
            assertEquals(
                    List.of(
                            "limited orders-1 2.0",
                            "limited orders-1 1.0",
                            "limited orders-1 5.0",
                            "limit ended orders-1"),
                    relay.statements);
        }

        /** Guards against a burst: all instances learn of the end of a limit at about the same time. */
        @Test
        void endWithADelayOfEachInstance() {
            EndpointEntry endpoint = RelayFixture.endpoint("orders", 1);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("2")), 0);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.empty()), 0);
            assertFalse(relay.availability.isAvailable(endpoint));
            relay.advance(500);

            assertTrue(relay.availability.isAvailable(endpoint));
        }

        @Test
        void endWithTheNextStart() {
            EndpointEntry endpoint = RelayFixture.endpoint("orders", 1);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("0")), 0);

            assertFalse(relay.availability.isAvailable(endpoint));
            assertTrue(relay.availability.isAvailable(RelayFixture.restarted(endpoint)));
        }

        /** Guards against LIMIT: the limit was stated while the connection was being opened. */
        @Test
        void holdForRequestsThatWaitForTheirConnection() {
            EndpointEntry endpoint = RelayFixture.endpoint("orders", 1);
            SendPermit permit = relay.availability.permit(endpoint);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("0")), 0);

            assertFalse(permit.confirm());
        }

        @Test
        void countOnlyRequestsThatWereSent() {
            EndpointEntry endpoint = RelayFixture.endpoint("orders", 1);
            relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("0")), 0);
            relay.advance(60_000);
            SendPermit first = relay.availability.permit(endpoint);
            SendPermit second = relay.availability.permit(endpoint);
            assertFalse(relay.availability.isAvailable(endpoint));
            first.release();
            assertTrue(relay.availability.isAvailable(endpoint));
            assertTrue(second.confirm());
            second.release();

            assertTrue(relay.availability.permit(endpoint).confirm());
            assertFalse(relay.availability.isAvailable(endpoint));
        }

        /** Nothing is held until its deadline: the caller can come back to another instance. */
        @Test
        void refuseAtOnceIfNoEndpointTakesMore() {
            List<EndpointEntry> endpoints = IntStream.rangeClosed(1, 3)
                    .mapToObj(i -> RelayFixture.endpoint("orders", i))
                    .toList();
            endpoints.forEach(
                    endpoint -> relay.availability.onAnswer(endpoint, answerWithLimit(Optional.of("0.5")), 0));
            long soonestMillis = relay.availability.soonestMillis(endpoints).orElseThrow();
            Caller caller = new Caller();
            relay.start("/order/1", caller);

            assertTrue(caller.ended);
            assertEquals(Execution.NOT_RUN, relay.summaries.get(0).execution());
            long retryMillis =
                    Long.parseLong(caller.headers.first("retry-after-millis").orElseThrow());
            assertTrue(
                    soonestMillis > 0 && retryMillis > soonestMillis && retryMillis < soonestMillis + 600,
                    "retry after " + retryMillis + ", soonest " + soonestMillis);
        }

        private AnswerMetadata answerWithLimit(Optional<String> limit) {
            return new AnswerMetadata(
                    false,
                    false,
                    false,
                    true,
                    false,
                    OptionalInt.empty(),
                    false,
                    Optional.empty(),
                    limit,
                    Optional.empty());
        }

        @ParameterizedTest
        @ValueSource(strings = {"-1", "many", "", "1e9", "NaN", "1.2.3"})
        void ignoreWhatIsNoNumber(String value) {
            answerWithLimit(value);

            String id = relay.lastRequest().endpoint.id();
            assertEquals(List.of("unreadable limit " + id + ' ' + value), relay.statements);
        }
    }

    /**
     * The pattern "a failure domain turns away": all endpoints of the nearest failure domain reject with a time to come
     * back, or state that they leave, under the full load of an instance.
     */
    @Nested
    class FailureDomainTurnsAway {
        private static final int REQUESTS = 600;
        private static final long INTERVAL_MILLIS = 5;
        /** The contract allows two from half a second after the rejection. */
        private static final long FROM_MILLIS = 500;

        /** Sends the load for three seconds and returns how many requests reached the nearest endpoint after 0.5 s. */
        private long lateArrivals(Header... statement) {
            for (int i = 0; i < REQUESTS; i++) {
                Caller caller = new Caller();
                relay.start("/order/" + i, caller);
                while (!caller.ended) {
                    RelayFixture.SentRequest sent = relay.lastRequest();
                    if (isNearest(sent)) {
                        sent.answer(503, "", concat(NOT_RUN, statement));
                    } else {
                        sent.answer(200, "done");
                    }
                }
                assertEquals(200, caller.status);
                relay.advance(INTERVAL_MILLIS);
            }
            return relay.sentRequests.stream()
                    .filter(this::isNearest)
                    .filter(sent -> sent.sentAtMillis >= FROM_MILLIS)
                    .count();
        }

        private boolean isNearest(RelayFixture.SentRequest sent) {
            return sent.endpoint.failureDomain().equals("domain-1");
        }

        private Header[] concat(Header first, Header... others) {
            return Stream.concat(Stream.of(first), Arrays.stream(others)).toArray(Header[]::new);
        }

        @Test
        void getsNothingWhilePaused() {
            assertEquals(0, lateArrivals(pause("3")));
        }

        @Test
        void getsNothingWhileLeaving() {
            assertEquals(0, lateArrivals(LEAVING));
        }

        /** The former policy, which knows rejections only, for comparison. */
        @Test
        void wouldGetManyByRejectionsAlone() {
            assertTrue(lateArrivals() > 100);
        }
    }
}
