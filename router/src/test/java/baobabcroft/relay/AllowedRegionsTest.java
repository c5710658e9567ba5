package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.relay.ForwardingFleet.Member;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import baobabcroft.routing.AllowedRegions;
import com.google.common.collect.ImmutableMultiset;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests whose route or client account allows some regions. Each failure domain is a region of its own. */
class AllowedRegionsTest {
    private static final AllowedRegions ALL = AllowedRegions.ALL;

    private static AllowedRegions regions(String... names) {
        return AllowedRegions.ofList(List.of(names));
    }

    /** Returns domain-1 for "1", and so on. */
    private static AllowedRegions numbered(String numbers) {
        return AllowedRegions.ofList(
                numbers.chars().mapToObj(digit -> "domain-" + (char) digit).toList());
    }

    @Nested
    class OneInstance {
        private final RelayFixture relay = RelayFixture.create();
        private final Caller caller = new Caller();

        private void configure(long version, AllowedRegions ofRoutes, AllowedRegions ofAccount) {
            relay.routing.updateIfNewer(RelayFixture.table(version, ofRoutes, ofAccount));
        }

        private Set<String> domainsSentTo() {
            return relay.sentRequests.stream()
                    .map(sent -> sent.endpoint.failureDomain())
                    .collect(Collectors.toSet());
        }

        /** Guards against requests outside of the regions of the route, of the account, or of one of the two. */
        @ParameterizedTest
        @CsvSource({"23,'',23", "'',13,13", "12,23,2", "2,2,2"})
        void sendsToTheRegionsThatRouteAndAccountAllow(String ofRoutes, String ofAccount, String expected) {
            configure(2, numbered(ofRoutes), numbered(ofAccount));
            for (int i = 0; i < 40; i++) {
                relay.start("/order/" + i, new Caller());
            }

            assertEquals(numbered(expected).names().orElseThrow(), domainsSentTo());
        }

        /** Guards against requests that wait, or are sent anywhere, although no region is left. */
        @Test
        void refusesAtOnceIfNoRegionIsLeft() {
            configure(2, regions("domain-1"), regions("domain-2"));
            relay.start("/order/1", caller);

            assertTrue(caller.ended);
            assertEquals(List.of(), relay.sentRequests);
            assertEquals(Execution.NOT_RUN, relay.summaries.get(0).execution());
            long retryMillis =
                    Long.parseLong(caller.headers.first("retry-after-millis").orElseThrow());
            assertTrue(retryMillis >= 1_200 && retryMillis <= 2_800, "retry after " + retryMillis);
            assertEquals(
                    ImmutableMultiset.copyOf(Collections.nCopies(3, Ineligibility.REGION_NOT_ALLOWED)),
                    relay.exclusions.get(0));
        }

        /** Guards against a retry that goes anywhere because the allowed endpoints are used up. */
        @Test
        void retriesOnlyInAllowedRegions() {
            configure(2, regions("domain-2"), ALL);
            relay.start("/lookup/1", caller);
            relay.lastRequest().answer(500, "broken");

            assertEquals(500, caller.status);
            assertEquals(1, relay.sentRequests.size());
        }

        /** Guards against a stream that another region goes on with. */
        @Test
        void resumesStreamsOnlyInAllowedRegions() {
            configure(2, regions("domain-1", "domain-3"), ALL);
            relay.start("/chat/1", caller);
            for (int event = 0; event < 2; event++) {
                relay.lastRequest().head(200);
                relay.lastRequest().event(event);
                relay.lastRequest().listener.onFailure(SendFailure.CONNECTION_LOST);
            }

            assertEquals(2, relay.sentRequests.size());
            assertEquals(Set.of("domain-1", "domain-3"), domainsSentTo());
            assertTrue(caller.aborted);
        }

        /** Guards against a larger model that is asked in another region. */
        @Test
        void escalatesOnlyInAllowedRegions() {
            configure(2, regions("domain-3"), ALL);
            relay.start("/chat/1", caller, new Header("model", "*"));
            relay.lastRequest().head(200, new Header("confidence", "1"));

            assertEquals(2, relay.sentRequests.size());
            assertEquals(Set.of("domain-3"), domainsSentTo());
        }

        /** Guards against a stalled attempt that is repeated in another region. */
        @Test
        void keepsWaitingForAStalledAttemptIfNoOtherRegionIsAllowed() {
            configure(2, regions("domain-3"), ALL);
            relay.start("/lookup/1", caller);
            relay.advance(4_000);

            assertEquals(1, relay.sentRequests.size());
            relay.lastRequest().answer(200, "done");
            assertEquals("done", caller.body);
        }

        /** Guards against a request whose regions change while it is being served. */
        @Test
        void usesTheConfigurationOfItsArrival() {
            configure(2, regions("domain-1", "domain-2"), ALL);
            relay.start("/lookup/1", caller);
            configure(3, regions("domain-3"), ALL);
            relay.lastRequest().answer(500, "broken");

            assertEquals(Set.of("domain-1", "domain-2"), domainsSentTo());
        }
    }

    /** An instance that is cut off from all endpoints, and three others: in domain-2, domain-3 and domain-1. */
    @Nested
    class Forwarding {
        private final ForwardingFleet fleet = ForwardingFleet.create(4, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
        private final Member cutOff = fleet.members.get(0);
        private final Caller caller = new Caller();

        @BeforeEach
        void isolate() {
            fleet.advance(1_000);
            cutOff.relay.cutOff = true;
            cutOff.reachability.onFailure();
            fleet.advance(50);
            assertTrue(cutOff.reachability.isIsolated());
        }

        private void configure(Member member, long version, AllowedRegions ofRoutes) {
            member.relay.routing.updateIfNewer(RelayFixture.table(version, ofRoutes, ALL));
        }

        private List<SentRequest> sent() {
            return fleet.members.stream()
                    .flatMap(member -> member.relay.sentRequests.stream())
                    .toList();
        }

        /**
         * Guards against bodies at instances, and requests at endpoints, of other regions. The other instances have not
         * read the configuration yet.
         */
        @Test
        void staysInRegionsThatTheInstanceOfTheCallerAllows() {
            configure(cutOff, 2, regions("domain-2"));
            for (int i = 0; i < 20; i++) {
                cutOff.relay.start("/order/" + i, new Caller(), new Header("Router-Allowed-Regions", "domain-1"));
                fleet.advance(5);
            }

            assertEquals(20, fleet.members.get(1).forwardedIn);
            assertEquals(20, sent().size());
            assertTrue(sent().stream()
                    .allMatch(sent -> sent.endpoint.failureDomain().equals("domain-2")));
        }

        /** Guards against an instance that trusts the choice of another one, such as one with an older build. */
        @Test
        void isCheckedAgainByTheOtherInstance() {
            fleet.members.subList(1, 4).forEach(member -> configure(member, 2, regions("domain-3")));
            cutOff.relay.start("/order/1", caller);
            fleet.advance(5);

            assertEquals("domain-3", sent().get(0).endpoint.failureDomain());
        }

        /** Guards against the use of another region, and against a wait, if no instance in the region is left. */
        @Test
        void isRefusedAtOnceIfNoInstanceInTheRegionIsLeft() {
            configure(cutOff, 2, regions("domain-2"));
            cutOff.relay.connectFailureMillis = 600;
            fleet.members.get(1).crash();
            cutOff.relay.start("/order/1", caller);
            fleet.advance(5);

            assertTrue(caller.ended);
            assertEquals(List.of(), sent());
            assertEquals(Execution.NOT_RUN, cutOff.relay.summaries.get(0).execution());
            assertTrue(caller.headers.first("retry-after-millis").isPresent());
        }

        /** Guards against a refusal by one instance whose endpoints are excluded while another one may serve. */
        @Test
        void goesToTheNextInstanceIfTheFirstHasNoAllowedEndpoint() {
            fleet.members.subList(1, 3).forEach(member -> configure(member, 2, regions("nowhere")));
            for (int i = 0; i < 10; i++) {
                cutOff.relay.start("/order/" + i, new Caller());
                fleet.advance(20);
            }

            assertEquals(10, sent().size());
            assertEquals(10, fleet.members.get(3).forwardedIn);
        }

        /** Guards against regions that cannot be read and are then taken for all regions. */
        @Test
        void isRefusedIfItsRegionsAreUnreadable() {
            ForwardedRequests requests =
                    ForwardedRequests.create(fleet.members.get(1).relay.services(), () -> true, Optional::empty);
            requests.serve(
                    new CallerRequest(
                            "POST",
                            "/lookup/1",
                            "shop.example",
                            Headers.copyOf(List.of(
                                    new Header("key", "secret"),
                                    new Header("Router-Forwarded", "0,0"),
                                    new Header("Router-Allowed-Regions", "%zz"))),
                            new byte[0]),
                    caller);

            assertEquals(400, caller.status);
            assertEquals(List.of(), sent());
        }
    }
}
