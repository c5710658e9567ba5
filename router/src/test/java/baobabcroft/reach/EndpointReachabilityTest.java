package baobabcroft.reach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.fake.VirtualTime;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointReachabilityTest {
    private static final long CONNECT_TIMEOUT_MILLIS = 600;

    private final VirtualTime time = new VirtualTime();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final List<String> events = new ArrayList<>();
    private final List<EndpointEntry> tried = new ArrayList<>();
    private final Set<String> silent = new HashSet<>();
    private ImmutableList<EndpointEntry> endpoints = IntStream.range(0, 11)
            .mapToObj(i -> endpoint(i, i < 8 ? "engines" : "orders"))
            .collect(ImmutableList.toImmutableList());
    private final EndpointReachability reachability = EndpointReachability.create(
            () -> endpoints,
            this::tryConnect,
            time.scheduler(),
            time::nowMillis,
            random::nextDouble,
            new EndpointReachability.Listener() {
                @Override
                public void onIsolated(int triedEndpoints) {
                    events.add(time.nowMillis() + " isolated after " + triedEndpoints);
                }

                @Override
                public void onReachable(long isolatedMillis) {
                    events.add(time.nowMillis() + " reachable after " + isolatedMillis);
                }
            });

    EndpointReachabilityTest() {
        time.advance(10_000);
    }

    private static EndpointEntry endpoint(int number, String service) {
        return new EndpointEntry(
                "e-" + number,
                service,
                HostAndPort.fromParts("127.0.0.1", 9_000 + number),
                "domain-" + number % 3,
                "v1",
                6,
                false,
                1);
    }

    private void tryConnect(EndpointEntry endpoint, Consumer<Boolean> callback) {
        tried.add(endpoint);
        if (silent.contains(endpoint.id())) {
            time.scheduler().schedule(CONNECT_TIMEOUT_MILLIS, () -> callback.accept(false));
        } else {
            time.scheduler().schedule(1, () -> callback.accept(true));
        }
    }

    private void silence(int endpointCount) {
        endpoints.stream().limit(endpointCount).forEach(endpoint -> silent.add(endpoint.id()));
    }

    @Nested
    class Isolation {
        /** Guards against RECOVER: connections hang, and each request would find that out for itself. */
        @Test
        void isFoundWithinOneConnectTimeoutOfTheFirstFailure() {
            silence(11);
            reachability.onFailure();
            assertTrue(reachability.drawsDirect());
            time.advance(CONNECT_TIMEOUT_MILLIS);

            assertTrue(reachability.isIsolated());
            assertFalse(reachability.drawsDirect());
            assertEquals(List.of("10600 isolated after 8"), events);
            assertEquals(
                    ImmutableSet.of("engines", "orders"),
                    tried.stream().map(EndpointEntry::service).collect(ImmutableSet.toImmutableSet()));
        }

        /** Endpoints do crash together: all of a service, or all of a failure domain. */
        @Test
        void isNotAssumedWhileAnyOfTheTriedEndpointsAnswers() {
            silence(8);
            reachability.onFailure();
            time.advance(CONNECT_TIMEOUT_MILLIS);

            assertFalse(reachability.isIsolated());
            assertEquals(List.of(), events);
        }

        @Test
        void isNotSuspectedRightAfterAContact() {
            reachability.onConnected();
            reachability.onFailure();
            reachability.onFailure();

            assertEquals(List.of(), tried);
        }

        @Test
        void isNotVerifiedAgainAtEachFailure() {
            silence(8);
            for (int i = 0; i < 10; i++) {
                reachability.onFailure();
                time.advance(40);
            }

            assertEquals(8, tried.size());
        }

        @Test
        void needsEndpoints() {
            endpoints = ImmutableList.of();
            reachability.onFailure();

            assertFalse(reachability.isIsolated());
        }
    }

    @Nested
    class Return {
        @Test
        void beginsWithTheFirstEndpointThatAccepts() {
            silence(11);
            reachability.onFailure();
            time.advance(5_000);
            silent.clear();
            time.advance(1_000);

            assertFalse(reachability.isIsolated());
            assertTrue(events.get(1).contains("reachable after"), events.toString());
        }

        /** Guards against a burst: the first requests would all meet endpoints that are still being reached again. */
        @Test
        void isGradual() {
            silence(11);
            reachability.onFailure();
            time.advance(CONNECT_TIMEOUT_MILLIS);
            reachability.onConnected();
            int atOnce = direct(1_000);
            time.advance(500);
            int later = direct(1_000);
            time.advance(1_500);

            assertEquals(0, atOnce);
            assertTrue(later > 150 && later < 600, "direct: " + later);
            assertEquals(1_000, direct(1_000));
        }

        private int direct(int requests) {
            return (int) IntStream.range(0, requests)
                    .filter(i -> reachability.drawsDirect())
                    .count();
        }

        @Test
        void triesFewEndpointsUntilThen() {
            silence(11);
            reachability.onFailure();
            time.advance(CONNECT_TIMEOUT_MILLIS + 10_000);

            int repeated = tried.size() - 8;
            assertTrue(repeated >= 45 && repeated <= 105, "tried " + repeated);
        }
    }

    @Nested
    class Failures {
        private final List<Boolean> failed = new ArrayList<>();

        private void check(int number) {
            reachability.checkFailed(endpoints.get(number), failed::add);
            time.advance(2 * CONNECT_TIMEOUT_MILLIS);
        }

        @Test
        void areNotThoseOfEndpointsThatAcceptConnections() {
            check(0);

            assertEquals(List.of(false), failed);
        }

        @Test
        void areThoseOfEndpointsThatDoNotWhileOthersDo() {
            silence(8);
            check(0);

            assertEquals(List.of(true), failed);
        }

        @Test
        void areNotThoseOfTheLinksOfThisInstance() {
            silence(11);
            check(0);
            check(1);

            assertEquals(List.of(false, false), failed);
            assertTrue(reachability.isIsolated());
        }
    }
}
