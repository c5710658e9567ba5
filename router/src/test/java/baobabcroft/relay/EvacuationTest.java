package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.relay.ForwardingFleet.Member;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import baobabcroft.retry.RetryBudget;
import com.google.common.collect.ImmutableMultiset;
import java.util.Collections;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Operators order the evacuation of failure domains while requests are under way. */
class EvacuationTest {
    private final RelayFixture relay = RelayFixture.create();
    private final Caller caller = new Caller();

    private void evacuate(String... domains) {
        for (String domain : domains) {
            relay.evacuated.add(domain);
        }
        relay.services().pauseQueue().onPlacementChanged();
    }

    private void evacuateAll() {
        evacuate("domain-1", "domain-2", "domain-3");
    }

    @Nested
    class Requests {
        /** Guards against requests whose connection was being opened when the order was read. */
        @Test
        void waitingForAConnectionGoElsewhereWithoutTakingFromTheRetryBudget() {
            relay.budget = RetryBudget.of(0, 1);
            relay.connectMillis = 100;
            for (int i = 0; i < 30; i++) {
                relay.start("/order/" + i, new Caller());
            }
            evacuate("domain-1", "domain-2");
            relay.advance(500);

            assertEquals(30, relay.sentRequests.size());
            assertTrue(relay.sentRequests.stream()
                    .allMatch(sent -> sent.endpoint.failureDomain().equals("domain-3")));
        }

        /** Guards against a request that is held until its deadline because its last endpoint was evacuated. */
        @Test
        void waitingForAConnectionAreRefusedIfNoEndpointIsLeft() {
            relay.connectMillis = 100;
            relay.start("/order/1", caller);
            evacuateAll();
            relay.advance(101);

            assertTrue(caller.ended);
            assertEquals(List.of(), relay.sentRequests);
            assertEquals(Execution.NOT_RUN, relay.summaries.get(0).execution());
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
            assertEquals(
                    ImmutableMultiset.copyOf(Collections.nCopies(3, Ineligibility.EVACUATED)), relay.exclusions.get(0));
        }

        /** Guards against an evacuation that breaks requests off. */
        @Test
        void inProgressAreCompleted() {
            relay.start("/order/1", caller);
            evacuateAll();
            relay.lastRequest().answer(200, "done");

            assertEquals("done", caller.body);
        }

        /** Guards against retries, and resumed streams, at endpoints that were evacuated after the first attempt. */
        @Test
        void areRepeatedElsewhere() {
            relay.start("/chat/1", caller);
            SentRequest first = relay.lastRequest();
            first.head(200);
            first.event(0);
            evacuate("domain-1", "domain-2", "domain-3");
            relay.evacuated.remove(first.endpoint.failureDomain());
            first.listener.onFailure(SendFailure.CONNECTION_LOST);

            assertEquals(1, relay.sentRequests.size());
            assertTrue(caller.aborted);
        }

        /** Guards against a request that waits for the end of a pause and then has no endpoint. */
        @Test
        void waitingForTheEndOfAPauseAreRefusedAtOnce() {
            for (int i = 0; i < 3; i++) {
                relay.start("/order/" + i, new Caller());
                relay.lastRequest().answer(503, "", new Header("not-run", "1"), new Header("pause", "1"));
            }
            relay.sentRequests.clear();
            relay.start("/order/waiting", caller);
            relay.advance(100);
            assertFalse(caller.ended);
            evacuateAll();

            assertTrue(caller.ended);
            relay.advance(10_000);
            assertEquals(1, caller.answers);
            assertEquals(List.of(), relay.sentRequests);
        }
    }

    @Nested
    class ForwardedRequests {
        /** Guards against an instance that is asked for help and has read the order, while the asking one has not. */
        @Test
        void areServedElsewhere() {
            ForwardingFleet fleet = ForwardingFleet.create(4, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
            Member cutOff = fleet.members.get(0);
            fleet.advance(1_000);
            cutOff.relay.cutOff = true;
            cutOff.reachability.onFailure();
            fleet.advance(50);
            fleet.members.subList(1, 4).forEach(member -> {
                member.relay.evacuated.add("domain-1");
                member.relay.evacuated.add("domain-2");
            });
            for (int i = 0; i < 10; i++) {
                cutOff.relay.start("/order/" + i, new Caller());
                fleet.advance(5);
            }

            List<SentRequest> sent = fleet.members.stream()
                    .flatMap(member -> member.relay.sentRequests.stream())
                    .toList();
            assertEquals(10, sent.size());
            assertTrue(sent.stream()
                    .allMatch(request -> request.endpoint.failureDomain().equals("domain-3")));
        }
    }
}
