package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.relay.ForwardingFleet.Member;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import baobabcroft.retry.RetryBudget;
import baobabcroft.routing.RoutingTable;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An instance that is cut off from all endpoints, and three others. */
class PeerForwardingTest {
    private static final long ISOLATED_AFTER_MILLIS = 50;

    private final ForwardingFleet fleet = ForwardingFleet.create(4, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
    private final Member cutOff = fleet.members.get(0);
    private final Caller caller = new Caller();

    @BeforeEach
    void isolate() {
        fleet.advance(1_000);
        isolate(cutOff);
    }

    private void isolate(Member member) {
        member.relay.cutOff = true;
        member.reachability.onFailure();
        fleet.advance(ISOLATED_AFTER_MILLIS);
        assertTrue(member.reachability.isIsolated());
    }

    private RelayedRequest start(String path, Header... headers) {
        RelayedRequest started = cutOff.relay.start(path, caller, headers);
        fleet.advance(5);
        return started;
    }

    /** Returns the requests that other instances have sent to endpoints. */
    private List<SentRequest> sent() {
        return fleet.members.stream()
                .flatMap(member -> member.relay.sentRequests.stream())
                .toList();
    }

    private SentRequest onlyRequest() {
        assertEquals(1, sent().size());
        return sent().get(0);
    }

    @Nested
    class Answers {
        @Test
        void areThoseOfTheEndpoint() {
            start("/order/1");
            onlyRequest().answer(200, "done", new Header("receipt", "17"));

            assertEquals(200, caller.status);
            assertEquals("done", caller.body);
            assertEquals(Optional.of("17"), caller.headers.first("receipt"));
            assertEquals(1, caller.answers);
        }

        @Test
        void ofFailuresAreNotFollowedByMoreSendsOfThisInstance() {
            start("/lookup/1");
            sent().get(0).answer(500, "broken");
            fleet.advance(5);
            sent().get(1).answer(500, "broken");
            fleet.advance(5);

            assertEquals(500, caller.status);
            assertEquals(2, sent().size());
        }

        @Test
        void areStreamedByEvent() {
            start("/chat/1");
            SentRequest sent = onlyRequest();
            sent.head(200);
            sent.event(0);
            assertEquals(200, caller.status);
            sent.event(1);
            assertEquals("id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n", caller.body);
            sent.listener.onEnd();

            assertTrue(caller.ended);
        }

        /** The other instance dies, and a third one goes on behind the last whole event. */
        @Test
        void thatAreStreamedGoOnByWayOfAThirdInstance() {
            start("/chat/1");
            SentRequest first = onlyRequest();
            first.head(200);
            first.event(0);
            first.data("id: 1\ndata: pie");
            fleet.members.stream().filter(member -> member.forwardedIn > 0).forEach(Member::crash);
            fleet.advance(5);
            SentRequest second =
                    sent().stream().filter(sent -> sent != first).findFirst().orElseThrow();
            second.head(200);
            second.event(1);
            second.listener.onEnd();

            assertEquals(Optional.of("0"), second.request.headers().first("resume-after"));
            assertEquals("id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n", caller.body);
            assertTrue(caller.ended);
        }
    }

    @Nested
    class Truth {
        /** A request that an instance may have sent on must not be sent by another one. */
        @Test
        void nonIdempotentRequestIsNotForwardedAgainAfterItsConnectionWasLost() {
            RelayedRequest order = start("/order/1");
            SentRequest sent = onlyRequest();
            sent.listener.onFailure(SendFailure.CONNECTION_LOST);
            fleet.advance(5);

            assertTrue(order.isDone());
            assertEquals(502, caller.status);
            assertEquals(1, sent().size());
        }

        @Test
        void requestGoesToAnotherInstanceIfTheFirstIsGone() {
            fleet.members.get(3).crash();
            start("/order/1");
            onlyRequest().answer(200, "done");

            assertEquals(200, caller.status);
        }

        /** An instance without requests of its own does not know that it is cut off until it gets one. */
        @Test
        void requestComesBackFromAnInstanceThatFindsItselfCutOff() {
            fleet.members.subList(1, 3).forEach(member -> member.relay.cutOff = true);
            for (int i = 0; i < 4; i++) {
                Caller each = new Caller();
                cutOff.relay.start("/order/1", each);
                fleet.advance(50);
                sent().get(i).answer(200, "done");

                assertEquals(200, each.status);
            }
        }

        /** Nothing is held until its deadline. */
        @Test
        void requestIsRefusedAtOnceIfAllInstancesAreCutOff() {
            fleet.members.subList(1, 4).forEach(PeerForwardingTest.this::isolate);
            start("/order/1");
            fleet.advance(50);

            assertTrue(caller.ended);
            assertEquals(List.of(), sent());
            RelaySummary summary = cutOff.relay.summaries.get(0);
            assertEquals(Execution.NOT_RUN, summary.execution());
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
        }
    }

    @Nested
    class ForwardedRequest {
        @Test
        void carriesTheTimeThatIsLeft() {
            cutOff.relay.start("/order/1", caller, new Header("wait", "700"));
            fleet.advance(5);

            assertEquals(Optional.of("700"), onlyRequest().request.headers().first("left"));
        }

        @Test
        void keepsItsAccount() {
            start("/order/1");

            assertEquals(Optional.of("kamera"), onlyRequest().request.headers().first("account"));
        }

        @Test
        void isCancelledWhenItsCallerLeaves() {
            RelayedRequest order = start("/order/1");
            order.onCallerDisconnected();

            assertTrue(onlyRequest().cancelled);
        }

        /** Guards against BUDGET: the route allows a number of endpoints for both instances together. */
        @Test
        void isSentToFewerEndpointsIfItMayHaveRunBefore() {
            Member peer = fleet.members.get(1);
            ForwardedRequests requests = ForwardedRequests.create(peer.relay.services(), () -> true, Optional::empty);
            requests.serve(forwarded("1,1"), caller);
            peer.relay.lastRequest().answer(500, "broken");

            assertEquals(500, caller.status);
            assertEquals(1, peer.relay.sentRequests.size());
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "1", "a,b", "1,2", "0,-1", "1,1,1"})
        void isRefusedIfItsOriginIsUnreadable(String value) {
            Member peer = fleet.members.get(1);
            ForwardedRequests requests = ForwardedRequests.create(peer.relay.services(), () -> true, Optional::empty);

            assertTrue(requests.serve(forwarded(value), caller).isDone());
            assertEquals(400, caller.status);
        }

        /** A caller must not be able to make an instance believe that the request was sent before. */
        @Test
        void replacesWhatTheCallerStates() {
            start("/lookup/1", new Header("Router-Forwarded", "2,2"));
            sent().get(0).answer(500, "broken");
            fleet.advance(5);

            assertEquals(2, sent().size());
        }

        private CallerRequest forwarded(String value) {
            return new CallerRequest(
                    "POST",
                    "/lookup/1",
                    "shop.example",
                    Headers.copyOf(List.of(new Header("key", "secret"), new Header("Router-Forwarded", value))),
                    new byte[0]);
        }
    }

    /** Instances that have read different versions of the configuration. */
    @Nested
    class Configurations {
        private static final int NEWEST = 3;

        private void configure(int number, RoutingTable table) {
            fleet.members.get(number).relay.routing.updateIfNewer(table);
        }

        /** Guards against a 404 of an instance that has not read the configuration by which a request was admitted. */
        @Test
        void olderThanThatOfTheCallersInstanceDoNotRefuse() {
            configure(0, RelayFixture.table(2, "report"));
            configure(NEWEST, RelayFixture.table(2, "report"));
            for (int i = 0; i < 10; i++) {
                cutOff.relay.start("/report/" + i, new Caller());
                fleet.advance(20);
            }

            assertEquals(10, sent().size());
            assertEquals(10, fleet.members.get(NEWEST).forwardedIn);
        }

        /** Guards against a route of a former configuration that an instance without contact to the store applies. */
        @Test
        void thatAreOlderAndNotReadAnyMoreAreNotUsed() {
            configure(0, RelayFixture.table(2));
            configure(NEWEST, RelayFixture.table(2));
            fleet.members.forEach(member -> member.viewRecent = false);
            for (int i = 0; i < 10; i++) {
                cutOff.relay.start("/order/" + i, new Caller());
                fleet.advance(20);
            }

            assertEquals(10, fleet.members.get(NEWEST).relay.sentRequests.size());
            assertEquals(10, sent().size());
        }

        @Test
        void thatAreNewerThanThatOfTheCallersInstanceRefuse() {
            for (int i = 1; i <= NEWEST; i++) {
                configure(i, RelayFixture.table(2, "report"));
            }
            start("/order/1");

            assertEquals(404, caller.status);
        }

        @Test
        void thatAreAllOlderLeadToARefusalThatMayBeRepeated() {
            configure(0, RelayFixture.table(2, "report"));
            start("/report/1");
            fleet.advance(20);

            assertEquals(503, caller.status);
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
        }
    }

    @Nested
    class Load {
        /** Guards against the retry budget being used up by connections that never reached an endpoint. */
        @Test
        void takesNothingFromTheRetryBudget() {
            cutOff.relay.budget = RetryBudget.of(0, 1);
            for (int i = 0; i < 5; i++) {
                Caller each = new Caller();
                cutOff.relay.start("/order/1", each);
                fleet.advance(5);
                sent().get(i).answer(200, "done");
                assertEquals(200, each.status);
            }
        }

        @Test
        void isSpreadOverTheOtherInstances() {
            for (int i = 0; i < 60; i++) {
                cutOff.relay.start("/order/" + i, new Caller());
                fleet.advance(5);
            }

            fleet.members
                    .subList(1, 4)
                    .forEach(member -> assertTrue(member.forwardedIn >= 8, "forwarded: " + member.forwardedIn));
            assertFalse(cutOff.forwardedIn > 0);
        }
    }
}
