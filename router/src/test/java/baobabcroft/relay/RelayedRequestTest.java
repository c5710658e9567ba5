package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.Send;
import baobabcroft.retry.RetryBudget;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayedRequestTest {
    private final RelayFixture relay = RelayFixture.create();
    private final Caller caller = new Caller();

    @Nested
    class Refusals {
        @Test
        void saysSoonThatNothingRanWithoutAnyConfiguration() {
            RelayFixture empty = new RelayFixture();

            empty.start("/order/1", caller);
            empty.pass(300);

            assertEquals(503, caller.status);
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
        }

        @Test
        void servesARequestThatCameJustBeforeTheFirstConfiguration() {
            RelayFixture empty = new RelayFixture();
            empty.start("/order/1", caller);
            empty.routing.updateIfNewer(RelayFixture.table(1));
            empty.directory.put(RelayFixture.endpoint("orders", 1));
            empty.pass(100);

            assertEquals(1, empty.sends.size());
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
            assertEquals("r-1", relay.finished.get(0).requestId());
        }

        @Test
        void refusesAPoisonRequestWithoutSendingIt() {
            relay.poison = true;

            relay.start("/chat/1", caller);

            assertTrue(relay.sends.isEmpty());
            assertEquals(Execution.NOT_RUN, relay.finished.get(0).execution());
        }

        @Test
        void saysNotRunWhenAllEndpointsSaidSo() {
            relay.start("/order/1", caller);
            while (!caller.ended) {
                relay.lastSend().answer(503, "", new Header("not-run", "1"));
            }

            assertEquals(503, caller.status);
            assertEquals(3, relay.sends.size());
        }
    }

    @Nested
    class AtMostOnce {
        @Test
        void doesNotSendAnOrderAgainAfterALostConnection() {
            relay.start("/order/1", caller);
            relay.lastSend().listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(1, relay.sends.size());
            assertEquals(502, caller.status);
        }

        @Test
        void sendsAnOrderAgainWhenNothingWasSent() {
            relay.start("/order/1", caller);
            relay.lastSend().listener.onFailure(SendFailure.CONNECTION_REFUSED);

            assertEquals(2, relay.sends.size());
            assertNotEquals(
                    relay.sends.get(0).endpoint.id(),
                    relay.sends.get(1).endpoint.id());
        }

        @Test
        void deliversTheEndpointsOwnFailureOfAnOrder() {
            relay.start("/order/1", caller);
            relay.lastSend().answer(500, "broken");

            assertEquals(500, caller.status);
            assertEquals("broken", caller.body);
        }

        @Test
        void doesNotDeliverASuccessWithoutReceipt() {
            relay.start("/order/1", caller);
            relay.lastSend().head(200, new Header("no-receipt", "1"));

            assertEquals(502, caller.status);
        }

        @Test
        void waitsForASilentEndpointWithAnOrder() {
            relay.start("/order/1", caller);
            relay.pass(4_000);

            assertEquals(1, relay.sends.size());
            assertFalse(caller.ended);
        }

        @Test
        void saysAtTheDeadlineThatASentOrderMayHaveRun() {
            relay.start("/order/1", caller, new Header("wait", "800"));
            relay.pass(800);

            assertEquals(504, caller.status);
            assertTrue(relay.lastSend().cancelled);
        }
    }

    @Nested
    class Repeats {
        @Test
        void triesAnIdempotentRequestElsewhereAfterAFailure() {
            relay.start("/lookup/1", caller);
            relay.lastSend().answer(500, "broken");
            relay.lastSend().answer(200, "found");

            assertEquals("found", caller.body);
            assertEquals(2, relay.sends.size());
        }

        /** Pattern: a kept channel goes silent without a reset; the request on it is never answered. */
        @Test
        void triesElsewhereWhenAnEndpointIsSilentBeyondTheGoal() {
            relay.start("/lookup/1", caller);
            relay.pass(2_500);
            relay.lastSend().answer(200, "found");

            assertTrue(relay.sends.get(0).cancelled);
            assertEquals("found", caller.body);
        }

        @Test
        void deliversAFailureItHoldsWhenTheDeadlineComes() {
            relay.start("/lookup/1", caller);
            relay.lastSend().answer(500, "first");
            relay.pass(10_000);

            assertEquals(500, caller.status);
            assertEquals("first", caller.body);
        }

        @Test
        void waitsOnASilentEndpointWhenTheBudgetIsSpent() {
            relay.budget = RetryBudget.of(0, 1, 0);
            relay.start("/lookup/1", caller);
            relay.pass(4_000);
            relay.lastSend().answer(200, "late");

            assertEquals("late", caller.body);
        }

        @Test
        void tellsTheJournalWhyItWasNotSentAgain() {
            relay.budget = RetryBudget.of(0, 1, 0);
            relay.start("/lookup/1", caller);
            relay.lastSend().answer(500, "broken");

            assertEquals(Optional.of("budget"), relay.finished.get(0).stopReason());
        }

        @Test
        void deliversTheLastFailureWhenNoEndpointIsLeft() {
            relay.start("/lookup/1", caller);
            relay.lastSend().answer(500, "first");
            relay.lastSend().answer(500, "second");

            assertEquals("second", caller.body);
            assertEquals(2, relay.sends.size());
        }

        @Test
        void deliversTheFailureWhenTheBudgetIsSpent() {
            relay.budget = RetryBudget.of(0, 1);
            relay.start("/lookup/1", caller);
            relay.lastSend().answer(500, "first");

            assertEquals("first", caller.body);
            assertEquals(1, relay.sends.size());
        }
    }

    @Nested
    class Streams {
        @Test
        void goesOnAtAnotherEndpointBehindTheLastWholeEvent() {
            relay.start("/chat/1", caller);
            Send first = relay.lastSend();
            first.head(200, new Header("from", "first"));
            first.event(1);
            first.data("id: 2\ndata: hal");
            first.listener.onFailure(SendFailure.CONNECTION_LOST);
            Send second = relay.lastSend();
            second.head(200, new Header("from", "second"));
            second.event(2);
            second.listener.onEnd();

            assertEquals(Optional.of("1"), second.request.headers().first("resume-after"));
            assertEquals(Optional.of("first"), caller.headers.first("from"));
            assertEquals("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", caller.body);
            assertTrue(caller.ended);
            assertEquals(1, caller.answers);
        }

        @Test
        void doesNotEndAsCompleteAmidAnEvent() {
            relay.start("/chat/1", caller);
            Send first = relay.lastSend();
            first.head(200);
            first.event(1);
            first.data("id: 2\n");
            first.listener.onEnd();

            assertFalse(caller.ended);
            assertEquals(2, relay.sends.size());
        }

        /** Pattern: a worker stops in the middle of a stream and its connection stays open. */
        @Test
        void goesOnElsewhereWhenAStreamFallsSilent() {
            relay.start("/chat/1", caller);
            relay.lastSend().head(200);
            relay.lastSend().event(1);
            relay.pass(3_300);
            relay.lastSend().head(200);
            relay.lastSend().event(2);
            relay.lastSend().listener.onEnd();

            assertEquals(2, relay.sends.size());
            assertTrue(relay.sends.get(0).cancelled);
            assertTrue(caller.ended);
        }

        @Test
        void dropsEventsThatTheCallerHasAlready() {
            relay.start("/chat/1", caller);
            relay.lastSend().head(200);
            relay.lastSend().event(1);
            relay.lastSend().event(1);
            relay.lastSend().event(2);

            assertEquals("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", caller.body);
        }

        @Test
        void goesOnElsewhereWhereEventsAreMissing() {
            relay.start("/chat/1", caller);
            Send first = relay.lastSend();
            first.head(200);
            first.event(1);
            first.event(3);

            assertTrue(first.cancelled);
            assertEquals(2, relay.sends.size());
            assertEquals("id: 1\ndata: piece 1\n\n", caller.body);
        }

        @Test
        void cancelsTheEndpointsWorkWhenTheCallerHasGone() {
            RelayedRequest request = relay.start("/chat/1", caller);
            relay.lastSend().head(200);
            relay.lastSend().event(1);
            request.onCallerDisconnected();

            assertTrue(relay.lastSend().cancelled);
            assertTrue(request.isDone());
        }

        @Test
        void breaksOffAtTheDeadline() {
            relay.start("/chat/1", caller);
            relay.lastSend().head(200);
            relay.lastSend().event(1);
            relay.pass(5_000);

            assertTrue(caller.broken);
            assertFalse(caller.ended);
        }

        @Test
        void tellsOfAConnectionLostBeforeTheFirstOutput() {
            relay.start("/chat/1", caller);
            String endpoint = relay.lastSend().endpoint.id();
            relay.lastSend().listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(java.util.List.of(endpoint), relay.lost);
        }
    }

    @Nested
    class Cascades {
        private final Header open = new Header("model", "*");

        @Test
        void keepsTheSmallModelsConfidentAnswer() {
            relay.start("/chat/1", caller, open);
            relay.lastSend().head(200, new Header("confidence", "80"));
            relay.lastSend().event(1);
            relay.lastSend().listener.onEnd();

            assertEquals(1, relay.sends.size());
            assertTrue(caller.ended);
        }

        @Test
        void asksTheLargeModelInsteadOfADoubtfulAnswer() {
            relay.start("/chat/1", caller, open);
            Send small = relay.lastSend();
            small.head(200, new Header("confidence", "20"));
            Send large = relay.lastSend();
            large.head(200, new Header("confidence", "30"));
            large.event(1);
            large.listener.onEnd();

            assertTrue(small.cancelled);
            assertEquals(Optional.of("small"), small.request.headers().first("model"));
            assertEquals(Optional.of("large"), large.request.headers().first("model"));
            assertTrue(caller.ended);
            assertEquals(1, caller.answers);
        }

        /** Pattern: a burst of long prompts; each larger answer would begin after its goal and hold up all others. */
        @Test
        void keepsADoubtfulAnswerWhileAllEnginesAreBusyBeyondTheGoal() {
            for (int i = 1; i <= 3; i++) {
                relay.others.updateInstance(
                        "instance-" + i, 1, Map.of(EndpointKey.of("engines-" + i), new PeerLoads.Load(20, 9_000)));
            }
            relay.start("/chat/1", caller, open);
            relay.lastSend().head(200, new Header("confidence", "20"));
            relay.lastSend().event(1);

            assertEquals(1, relay.sends.size());
            assertEquals(200, caller.status);
        }

        @Test
        void keepsADoubtfulAnswerWhenTheBudgetIsSpent() {
            relay.budget = RetryBudget.of(0, 1);
            relay.start("/chat/1", caller, open);
            relay.lastSend().head(200, new Header("confidence", "20"));
            relay.lastSend().event(1);

            assertEquals(1, relay.sends.size());
            assertEquals(200, caller.status);
        }
    }
}
