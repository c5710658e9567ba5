package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.fairness.AccountSubject;
import baobabcroft.fairness.AccountUse;
import baobabcroft.fairness.AccountUses;
import baobabcroft.fairness.FairAdmission;
import baobabcroft.fairness.ServiceUse;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import baobabcroft.retry.RetryBudget;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayedRequestTest {
    private final RelayFixture relay = RelayFixture.create();
    private final Caller caller = new Caller();

    /** Guards against a caller that waits although its account's share of a full service is used up. */
    @Test
    void aboveTheShareOfItsAccountIsRefusedAtOnce() {
        AccountSubject subject = AccountSubject.of("orders", "kamera");
        AccountUses uses = AccountUses.create(relay::now);
        uses.updateInstance("instance-2", 1, Map.of(subject, new AccountUse(30, 0)));
        relay.fairness = FairAdmission.create(
                relay::now,
                uses,
                service -> new ServiceUse(18, 30, 0, 0),
                service -> Map.of(subject, 1.0),
                (request, aboveShare, occupancy) -> {});
        relay.start("/order/1", caller);

        assertEquals(503, caller.status);
        assertTrue(caller.headers.first("retry-after-millis").isPresent());
        assertTrue(relay.sentRequests.isEmpty());
        assertEquals(Execution.NOT_RUN, relay.summaries.get(0).execution());
    }

    /** What a version's rollout learns of attempts, also of those that nobody waits for any longer. */
    @Nested
    class AttemptResults {
        /** Guards against EXPOSURE: answers too slow for the deadline are evidence against a version. */
        @Test
        void includeAttemptsCutOffByTheDeadline() {
            relay.start("/order/1", caller);
            relay.advance(6_000);

            assertEquals(List.of(AttemptResult.ABANDONED), relay.results);
        }

        /** Guards against EXPOSURE: answers too slow for their callers are evidence against a version. */
        @Test
        void includeAttemptsWhoseCallerHasLeft() {
            RelayedRequest request = relay.start("/order/1", caller);
            request.onCallerDisconnected();

            assertEquals(List.of(AttemptResult.ABANDONED), relay.results);
        }

        @Test
        void tellFirstOutputAndAnswer() {
            relay.start("/chat/1", caller);
            relay.lastRequest().head(200);
            relay.lastRequest().event(0);
            relay.lastRequest().event(1);
            relay.lastRequest().listener.onEnd();

            assertEquals(1, relay.firstOutputs);
            assertEquals(List.of(AttemptResult.ANSWERED), relay.results);
        }

        @Test
        void tellErrorsFromLostConnections() {
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(500, "");
            relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(List.of(AttemptResult.FAILED, AttemptResult.LOST), relay.results);
        }

        @Test
        void leaveOutRequestsThatDidNotRun() {
            relay.start("/order/1", caller);
            relay.lastRequest().answer(503, "", new Header("not-run", "1"));

            assertEquals(AttemptResult.NOT_RUN, relay.results.get(0));
        }
    }

    /** What a planned stop means for requests; the route's goal is 1 s, its timeout 5 s. */
    @Nested
    class PlannedStops {
        private static final int ANSWERS = 50;

        private void answerAfter(long millis) {
            relay.start("/order/0", new Caller());
            relay.advance(millis);
            relay.lastRequest().answer(200, "done");
            assertEquals(
                    "answered", relay.summaries.get(relay.summaries.size() - 1).outcome());
        }

        /** Returns whether a request that arrives this long before the end of the stop is sent to an endpoint. */
        private boolean isTaken(long leftMillis, Header... headers) {
            int sent = relay.sentRequests.size();
            relay.plannedStop.begin(leftMillis);
            relay.start("/order/1", caller, headers);
            return relay.sentRequests.size() > sent;
        }

        /** Guards against LOST: an order that was taken late was cut at the end of the grace. */
        @Test
        void refuseWhatIsNotExpectedToEndInTime() {
            assertFalse(isTaken(900));
            assertEquals(503, caller.status);
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
            assertEquals(Execution.NOT_RUN, relay.summaries.get(0).execution());
        }

        @Test
        void takeWhatIsExpectedToEndInTime() {
            assertTrue(isTaken(1_100));
        }

        @Test
        void expectWhatRecentAnswersTook() {
            for (int i = 0; i < ANSWERS; i++) {
                answerAfter(20);
            }

            assertTrue(isTaken(100));
        }

        @Test
        void refuseByRecentAnswersAlsoAboveTheGoal() {
            for (int i = 0; i < ANSWERS; i++) {
                answerAfter(2_000);
            }

            assertFalse(isTaken(1_900));
        }

        /** It is answered at its deadline, with or without a stop. */
        @Test
        void takeWhatHasItsDeadlineBeforeTheEnd() {
            assertTrue(isTaken(400, new Header("wait", "300")));
        }

        @Test
        void refuseEverythingAfterTheEnd() {
            relay.plannedStop.begin(2_000);
            relay.advance(2_000);
            relay.start("/order/1", caller);

            assertEquals(503, caller.status);
            assertEquals(0, relay.sentRequests.size());
        }

        /** Guards against BUDGET: the endpoint would work for longer than anybody waits. */
        @Test
        void limitTheTimeThatEndpointsAreGiven() {
            isTaken(3_000);

            assertEquals(
                    "3000", relay.lastRequest().request.headers().first("left").orElseThrow());
        }

        /** Guards against LOST: the connection was closed without an answer. */
        @Test
        void answerWhatIsOpenAtTheEnd() {
            relay.start("/order/1", caller);
            relay.plannedStop.begin(2_000);
            relay.advance(1_999);
            assertEquals(0, caller.answers);
            relay.advance(1);

            assertEquals(504, caller.status);
            assertTrue(relay.lastRequest().cancelled);
        }

        @Test
        void leaveAnsweredRequestsAlone() {
            relay.start("/order/1", caller);
            relay.plannedStop.begin(2_000);
            relay.lastRequest().answer(200, "done");
            relay.advance(2_000);

            assertEquals(1, caller.answers);
            assertEquals(200, caller.status);
        }

        /** Guards against LOST: the other instance can still have it served elsewhere. */
        @Test
        void returnForwardedRequestsThatAreNotExpectedToEndInTime() {
            relay.plannedStop.begin(900);
            CallerRequest request = new CallerRequest(
                    "POST",
                    "/order/1",
                    "shop.example",
                    Headers.copyOf(List.of(new Header("key", "secret"))),
                    new byte[0]);
            RelayedRequest.startForwarded(relay.services(), request, caller, ForwardingHeaders.PriorSends.NONE);

            assertEquals(503, caller.status);
            assertTrue(ForwardingHeaders.isRejection(caller.headers));
        }
    }

    @Nested
    class Refusals {
        /** Guards against REFUSED and TWICE: the rejection may be a copy of that of an earlier request. */
        @Test
        void areNotPassedOnWithoutProofThatTheRequestHasNotRun() {
            relay.start("/order/1", caller);
            relay.lastRequest().answer(503, "busy");

            assertEquals(502, caller.status);
            assertEquals(1, relay.sentRequests.size());
        }

        @Test
        void refusesWithARetryDelayWithoutConfiguration() {
            RelayFixture empty = new RelayFixture();

            empty.start("/order/1", caller);
            empty.advance(300);

            assertEquals(503, caller.status);
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
        }

        @Test
        void servesARequestThatArrivesJustBeforeTheFirstConfiguration() {
            RelayFixture empty = new RelayFixture();
            empty.start("/order/1", caller);
            empty.routing.updateIfNewer(RelayFixture.table(1));
            empty.directory.put(RelayFixture.endpoint("orders", 1));
            empty.advance(100);

            assertEquals(1, empty.sentRequests.size());
        }

        @Test
        void refusesAnUnknownPath() {
            relay.start("/nothing/1", caller);

            assertEquals(404, caller.status);
        }

        @Test
        void refusesARequestWithoutAKey() {
            relay.start(new CallerRequest("POST", "/order/1", "shop.example", Headers.EMPTY, new byte[0]), caller);

            assertEquals(401, caller.status);
            assertEquals("r-1", relay.summaries.get(0).requestId());
        }

        @Test
        void refusesAPoisonRequestWithoutSendingIt() {
            relay.poison = true;

            relay.start("/chat/1", caller);

            assertTrue(relay.sentRequests.isEmpty());
            assertEquals(Execution.NOT_RUN, relay.summaries.get(0).execution());
        }

        /** Guards against BUDGET: others with the same prompt part crash endpoints while this one is under way. */
        @Test
        void doesNotSendAgainWhatHasBecomePoison() {
            relay.start("/chat/1", caller);
            relay.poison = true;
            relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(1, relay.sentRequests.size());
            assertEquals(502, caller.status);
        }

        @Test
        void refusesAsNotRunWhatHasBecomePoisonBeforeItRan() {
            relay.start("/chat/1", caller);
            relay.poison = true;
            relay.lastRequest().answer(503, "", new Header("not-run", "1"));

            assertEquals(1, relay.sentRequests.size());
            assertEquals(Execution.NOT_RUN, relay.summaries.get(0).execution());
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
        }

        @Test
        void refusesAsNotRunWhenNoEndpointRanTheRequest() {
            relay.start("/order/1", caller);
            while (!caller.ended) {
                relay.lastRequest().answer(503, "", new Header("not-run", "1"));
            }

            assertEquals(503, caller.status);
            assertEquals(3, relay.sentRequests.size());
        }
    }

    @Nested
    class AtMostOnce {
        @Test
        void doesNotRetryAnOrderAfterALostConnection() {
            relay.start("/order/1", caller);
            relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(1, relay.sentRequests.size());
            assertEquals(502, caller.status);
        }

        @Test
        void retriesAnOrderWhenNothingWasSent() {
            relay.start("/order/1", caller);
            relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_REFUSED);

            assertEquals(2, relay.sentRequests.size());
            assertNotEquals(
                    relay.sentRequests.get(0).endpoint.id(),
                    relay.sentRequests.get(1).endpoint.id());
        }

        @Test
        void deliversTheServerErrorOfAnOrder() {
            relay.start("/order/1", caller);
            relay.lastRequest().answer(500, "broken");

            assertEquals(500, caller.status);
            assertEquals("broken", caller.body);
        }

        @Test
        void doesNotDeliverASuccessWithoutResponseStamp() {
            relay.start("/order/1", caller);
            relay.lastRequest().head(200, new Header("no-receipt", "1"));

            assertEquals(502, caller.status);
        }

        // Guards against a success whose missing bytes are those of the response that follows it.
        @Test
        void doesNotDeliverASuccessThatContainsAnotherAnswer() {
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(200, "fouHTTP/1.1 200 OK\r\nid: r-1\r\n\r\nfound");
            relay.lastRequest().answer(200, "found");

            assertEquals("found", caller.body);
            assertEquals(2, relay.sentRequests.size());
        }

        // Guards against a success with bytes that the endpoint sent behind it, before it closed the connection.
        @Test
        void doesNotDeliverASuccessWithoutALengthThatResponsesFollow() {
            String extra = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(200, "found" + extra.repeat(3));
            relay.lastRequest().answer(200, "found");

            assertEquals("found", caller.body);
            assertEquals(2, relay.sentRequests.size());
        }

        @Test
        void deliversASuccessWithALengthThatQuotesAResponse() {
            String quote = "It sends HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(200, quote, new Header("Content-Length", Integer.toString(quote.length())));

            assertEquals(quote, caller.body);
        }

        @Test
        void keepsWaitingForAnInactiveEndpointWithAnOrder() {
            relay.start("/order/1", caller);
            relay.advance(4_000);

            assertEquals(1, relay.sentRequests.size());
            assertFalse(caller.ended);
        }

        @Test
        void refusesAsMayHaveRunAtTheDeadlineOfASentOrder() {
            relay.start("/order/1", caller, new Header("wait", "800"));
            relay.advance(800);

            assertEquals(504, caller.status);
            assertTrue(relay.lastRequest().cancelled);
        }
    }

    @Nested
    class Retries {
        @Test
        void retriesAnIdempotentRequestAtAnotherEndpointAfterAFailure() {
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(500, "broken");
            relay.lastRequest().answer(200, "found");

            assertEquals("found", caller.body);
            assertEquals(2, relay.sentRequests.size());
        }

        /** A reused connection may die without a reset, so that the request on it is never answered. */
        @Test
        void retriesWhenAnEndpointIsInactiveBeyondTheGoal() {
            relay.start("/lookup/1", caller);
            relay.advance(2_500);
            relay.lastRequest().answer(200, "found");

            assertTrue(relay.sentRequests.get(0).cancelled);
            assertEquals("found", caller.body);
        }

        /**
         * A sound endpoint may be silent for a second; the caller is better served elsewhere, but nothing has failed.
         */
        @Test
        void anEndpointThatWasSilentForASecondHasNotFailed() {
            relay.start("/lookup/1", caller, new Header("wait", "2500"));
            relay.advance(1_000);
            relay.lastRequest().answer(200, "found");

            assertEquals("found", caller.body);
            assertEquals(List.of(AttemptResult.ABANDONED, AttemptResult.ANSWERED), relay.results);
            assertEquals(Map.of(), relay.loads.localLoads());
        }

        @Test
        void anEndpointThatWasSilentForLongerHasFailed() {
            relay.start("/lookup/1", caller);
            relay.advance(2_500);
            relay.lastRequest().answer(200, "found");

            assertEquals(List.of(AttemptResult.FAILED, AttemptResult.ANSWERED), relay.results);
        }

        // Guards against callers that wait for an answer that was skipped with a truncated response to another request.
        @Test
        void retriesAtOnceWhenAnUnfinishedResponseArrivesInItsPlace() {
            relay.start("/lookup/1", caller);
            relay.lastRequest().listener.onOtherHead(200, Headers.EMPTY);
            relay.lastRequest().listener.onFramingInDoubt();
            relay.lastRequest().answer(200, "found");

            assertTrue(relay.sentRequests.get(0).cancelled);
            assertEquals("found", caller.body);
            assertEquals(List.of(AttemptResult.FAILED, AttemptResult.ANSWERED), relay.results);
        }

        @Test
        void keepsWaitingWhenAnUnfinishedResponseArrivesInPlaceOfAnOrders() {
            relay.start("/order/1", caller);
            relay.lastRequest().listener.onOtherHead(200, Headers.EMPTY);
            relay.lastRequest().listener.onFramingInDoubt();
            relay.lastRequest().answer(200, "placed");

            assertEquals(1, relay.sentRequests.size());
            assertEquals("placed", caller.body);
        }

        @Test
        void keepsWaitingAfterAWholeResponseToAnotherRequest() {
            relay.start("/lookup/1", caller);
            relay.lastRequest().listener.onOtherHead(200, Headers.EMPTY);

            assertEquals(1, relay.sentRequests.size());
        }

        @Test
        void deliversTheLastFailureAtTheDeadline() {
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(500, "first");
            relay.advance(10_000);

            assertEquals(500, caller.status);
            assertEquals("first", caller.body);
        }

        @Test
        void keepsWaitingForAnInactiveEndpointWhenTheBudgetIsExhausted() {
            relay.budget = RetryBudget.of(0, 1, 0);
            relay.start("/lookup/1", caller);
            relay.advance(4_000);
            relay.lastRequest().answer(200, "late");

            assertEquals("late", caller.body);
        }

        /**
         * Guards against RECOVER: refused connections reach no endpoint, but they used up the budget for those that do.
         */
        @Test
        void takeNothingFromTheBudgetIfNothingWasSent() {
            relay.budget = RetryBudget.of(0, 1, 0);
            relay.start("/order/1", caller);
            relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_REFUSED);
            relay.lastRequest().listener.onFailure(SendFailure.CONNECT_TIMEOUT);
            relay.lastRequest().answer(200, "done");

            assertEquals("done", caller.body);
            assertEquals(3, relay.sentRequests.size());
        }

        /** An endpoint that rejects a request has received it, and counts it. */
        @Test
        void takeFromTheBudgetIfTheEndpointRejected() {
            relay.budget = RetryBudget.of(0, 1, 0);
            relay.start("/order/1", caller);
            relay.lastRequest().answer(503, "", new Header("not-run", "1"));

            assertEquals(1, relay.sentRequests.size());
            assertEquals(Optional.of("budget"), relay.summaries.get(0).stopReason());
        }

        @Test
        void reportsWhyARequestWasNotRetried() {
            relay.budget = RetryBudget.of(0, 1, 0);
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(500, "broken");

            assertEquals(Optional.of("budget"), relay.summaries.get(0).stopReason());
        }

        @Test
        void deliversTheLastFailureWhenNoEndpointIsLeft() {
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(500, "first");
            relay.lastRequest().answer(500, "second");

            assertEquals("second", caller.body);
            assertEquals(2, relay.sentRequests.size());
        }

        @Test
        void deliversTheFailureWhenTheBudgetIsExhausted() {
            relay.budget = RetryBudget.of(0, 1);
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(500, "first");

            assertEquals("first", caller.body);
            assertEquals(1, relay.sentRequests.size());
        }
    }

    @Nested
    class Cascades {
        private final Header open = new Header("model", "*");

        @Test
        void keepsTheSmallModelsConfidentAnswer() {
            relay.start("/chat/1", caller, open);
            relay.lastRequest().head(200, new Header("confidence", "80"));
            relay.lastRequest().event(1);
            relay.lastRequest().listener.onEnd();

            assertEquals(1, relay.sentRequests.size());
            assertTrue(caller.ended);
        }

        @Test
        void escalatesAnAnswerOfLowConfidence() {
            relay.start("/chat/1", caller, open);
            SentRequest small = relay.lastRequest();
            small.head(200, new Header("confidence", "20"));
            SentRequest large = relay.lastRequest();
            large.head(200, new Header("confidence", "30"));
            large.event(1);
            large.listener.onEnd();

            assertTrue(small.cancelled);
            assertEquals(Optional.of("small"), small.request.headers().first("model"));
            assertEquals(Optional.of("large"), large.request.headers().first("model"));
            assertTrue(caller.ended);
            assertEquals(1, caller.answers);
        }

        /** In a burst of long prompts, escalated answers would start after their goal and delay all other requests. */
        @Test
        void keepsAnAnswerOfLowConfidenceWhileAllEnginesAreBusyBeyondTheGoal() {
            for (int i = 1; i <= 3; i++) {
                relay.remoteLoads.updateInstance(
                        "instance-" + i, 1, Map.of(EndpointKey.of("engines-" + i), new PeerLoads.Load(20, 9_000)));
            }
            relay.start("/chat/1", caller, open);
            relay.lastRequest().head(200, new Header("confidence", "20"));
            relay.lastRequest().event(1);

            assertEquals(1, relay.sentRequests.size());
            assertEquals(200, caller.status);
        }

        @Test
        void keepsAnAnswerOfLowConfidenceWhenTheBudgetIsExhausted() {
            relay.budget = RetryBudget.of(0, 1);
            relay.start("/chat/1", caller, open);
            relay.lastRequest().head(200, new Header("confidence", "20"));
            relay.lastRequest().event(1);

            assertEquals(1, relay.sentRequests.size());
            assertEquals(200, caller.status);
        }
    }
}
