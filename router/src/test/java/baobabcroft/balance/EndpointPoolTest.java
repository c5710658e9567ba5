package baobabcroft.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fake.VirtualTime;
import baobabcroft.rules.EndpointRule;
import baobabcroft.rules.FailureDomainRule;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class EndpointPoolTest {
    private static final int MAX_CONCURRENT = 3;
    private static final VersionId VERSION = new VersionId("film", "1");

    private final VirtualTime time = new VirtualTime();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final RuleSet rules = RuleSet.builder()
            .add(new FailureDomainRule("zg-1", "zagreb"))
            .add(new FailureDomainRule("zg-2", "zagreb"))
            .add(new FailureDomainRule("st-1", "split"))
            .add(endpoint("near", "zg-1"))
            .add(endpoint("region", "zg-2"))
            .add(endpoint("far", "st-1"))
            .build();
    private final EndpointPool pool = EndpointPool.create("zg-1", BreakerSettings.defaults(), time.ticker(), random);

    private static EndpointRule endpoint(String name, String failureDomain) {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", 1);
        return new EndpointRule(name, address, failureDomain, Set.of(VERSION), Optional.empty(), MAX_CONCURRENT, false);
    }

    private static EndpointCriteria firstAttempt() {
        return EndpointCriteria.of(OptionalLong.empty(), 60_000);
    }

    private Optional<EndpointLease> acquire(EndpointPicker picker, EndpointCriteria criteria) {
        return pool.tryAcquire(rules.endpointsFor(VERSION), criteria, picker, random);
    }

    private EndpointStatus status(String name) {
        return pool.statuses().stream()
                .filter(status -> status.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    @Property(tries = 200, seed = "11")
    void inFlightStaysWithinCapacity(@ForAll @Size(max = 60) List<Byte> steps) {
        pool.applyRules(rules);
        List<EndpointLease> leases = new ArrayList<>();
        for (byte step : steps) {
            int choice = Math.floorMod(step, 5);
            if (choice < 2) {
                acquire(EndpointPickers.random(), firstAttempt()).ifPresent(leases::add);
            } else if (!leases.isEmpty()) {
                EndpointLease lease = leases.get(Math.floorMod(step * 31, leases.size()));
                boolean ended = choice == 2
                        ? lease.succeeded(10)
                        : choice == 3 ? lease.failed(FailureKind.CONNECT) : lease.cancelled();
                assertTrue(ended || !lease.cancelled());
            }
            time.advance(Math.floorMod(step, 700));
            pool.statuses()
                    .forEach(status -> assertTrue(status.inFlight() >= 0 && status.inFlight() <= MAX_CONCURRENT));
        }
    }

    @Nested
    final class Tiers {
        @Test
        void spillOverOnlyWhenNearerEndpointsAreFull() {
            pool.applyRules(rules);
            List<String> order = new ArrayList<>();
            for (int i = 0; i < 3 * MAX_CONCURRENT; i++) {
                order.add(acquire(EndpointPickers.tiered(), firstAttempt())
                        .orElseThrow()
                        .rule()
                        .name());
            }
            List<String> expected = List.of("near", "near", "near", "region", "region", "region", "far", "far", "far");
            assertEquals(expected, order);
            assertTrue(acquire(EndpointPickers.tiered(), firstAttempt()).isEmpty());
        }

        @Test
        void includeTheReportedLoadOfOtherInstances() {
            pool.applyRules(rules);
            pool.recordLoad(
                    "near", new LoadReport(MAX_CONCURRENT, 2, time.ticker().read()));
            assertEquals(
                    "region",
                    acquire(EndpointPickers.tiered(), firstAttempt())
                            .orElseThrow()
                            .rule()
                            .name());
        }

        @Test
        void preferAnotherFailureDomainOnRetry() {
            pool.applyRules(rules);
            EndpointCriteria retry = new EndpointCriteria(OptionalLong.empty(), 60_000, Set.of(), Optional.of("zg-1"));
            assertEquals(
                    "region",
                    acquire(EndpointPickers.tiered(), retry)
                            .orElseThrow()
                            .rule()
                            .name());
        }
    }

    @Nested
    final class Membership {
        @Test
        void leavingEndpointsReceiveNoNewRequests() {
            pool.applyRules(rules);
            pool.markLeaving(Set.of("near", "far"));
            pool.applyRules(rules);
            Set<String> chosen = new HashSet<>();
            for (int i = 0; i < MAX_CONCURRENT; i++) {
                acquire(EndpointPickers.random(), firstAttempt())
                        .ifPresent(lease -> chosen.add(lease.rule().name()));
            }
            assertEquals(Set.of("region"), chosen);
        }

        @Test
        void newRulesKeepTheStateOfRemainingEndpoints() {
            pool.applyRules(rules);
            EndpointLease lease =
                    acquire(EndpointPickers.tiered(), firstAttempt()).orElseThrow();
            pool.applyRules(rules);
            assertEquals(1, status("near").inFlight());
            assertTrue(lease.cancelled());
            assertEquals(0, status("near").inFlight());
        }
    }

    @Nested
    final class Health {
        private void fail(int times) {
            for (int i = 0; i < times; i++) {
                acquire(EndpointPickers.tiered(), firstAttempt()).orElseThrow().failed(FailureKind.CONNECT);
            }
        }

        @Test
        void ejectsAfterConsecutiveFailuresAndRecoversWithSlowStart() {
            pool.applyRules(rules);
            fail(3);
            assertEquals(EndpointHealth.EJECTED, status("near").health());
            time.advance(1_000);
            EndpointLease probe =
                    acquire(EndpointPickers.tiered(), firstAttempt()).orElseThrow();
            assertEquals("near", probe.rule().name());
            assertEquals(
                    "region",
                    acquire(EndpointPickers.tiered(), firstAttempt())
                            .orElseThrow()
                            .rule()
                            .name());
            probe.succeeded(10);
            assertEquals(EndpointHealth.SLOW_START, status("near").health());
            time.advance(10_000);
            assertEquals(EndpointHealth.READY, status("near").health());
        }

        @Test
        void failedProbeDoublesTheEjection() {
            pool.applyRules(rules);
            fail(3);
            time.advance(1_000);
            fail(1);
            time.advance(999);
            assertEquals(EndpointHealth.EJECTED, status("near").health());
            time.advance(1_001);
            assertEquals(EndpointHealth.PROBING, status("near").health());
        }

        @Test
        void busyResponsesDoNotAffectHealth() {
            pool.applyRules(rules);
            for (int i = 0; i < 20; i++) {
                acquire(EndpointPickers.tiered(), firstAttempt()).orElseThrow().failed(FailureKind.BUSY);
            }
            assertEquals(EndpointHealth.READY, status("near").health());
            assertFalse(
                    pool.candidates(rules.endpointsFor(VERSION), firstAttempt()).isEmpty());
        }
    }
}
