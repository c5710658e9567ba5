package baobabcroft.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.limit.LimitDecision.Admitted;
import baobabcroft.limit.LimitDecision.LimitKind;
import baobabcroft.limit.LimitDecision.Limited;
import baobabcroft.rules.AccountRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class AccountLimitsTest {
    private static final AccountRule ACCOUNT = new AccountRule("a", "key", Set.of(), 0, 50, 6_000, 20);

    private static List<AccountLimits> fleet(int instances) {
        Set<String> names = IntStream.range(0, instances).mapToObj(i -> "i" + i).collect(Collectors.toSet());
        List<AccountLimits> fleet = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            AccountLimits limits = AccountLimits.create("i" + i);
            limits.setLiveInstances(names);
            fleet.add(limits);
        }
        return fleet;
    }

    private static void gossip(List<AccountLimits> fleet, long nowMillis) {
        for (AccountLimits from : fleet) {
            from.ownReport(nowMillis).ifPresent(report -> fleet.forEach(to -> to.addReport(report)));
        }
    }

    @Property(tries = 60, seed = "11")
    void sharesAddUpToTheLimitWhenAllHearEachOther(
            @ForAll @IntRange(min = 1, max = 12) int instances, @ForAll int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<AccountLimits> fleet = fleet(instances);
        for (long nowMillis = 1_000; nowMillis < 8_000; nowMillis += 50) {
            AccountLimits busy = fleet.get(random.nextInt(1 + random.nextInt(instances)));
            busy.admit(ACCOUNT, 0, nowMillis);
            gossip(fleet, nowMillis);
            double requests = 0;
            long concurrent = 0;
            for (AccountLimits limits : fleet) {
                AccountLimits.Share share = limits.share(ACCOUNT, nowMillis);
                requests += share.requestsPerSecond();
                concurrent += share.maxConcurrent();
            }
            assertEquals((double) ACCOUNT.requestsPerSecond(), requests, 1e-6);
            assertEquals(ACCOUNT.maxConcurrent(), concurrent);
        }
    }

    @Test
    void demandOverTheLimitTakesNearlyAllOfIt() {
        List<AccountLimits> fleet = fleet(2);
        for (long nowMillis = 1_000; nowMillis < 6_000; nowMillis += 10) {
            fleet.get(0).admit(ACCOUNT, 0, nowMillis);
            gossip(fleet, nowMillis);
        }
        assertTrue(fleet.get(0).share(ACCOUNT, 6_000).requestsPerSecond() > 45);
    }

    @Test
    void demandUnderTheLimitIsCoveredAndTheRestSplitEvenly() {
        List<AccountLimits> fleet = fleet(2);
        for (long nowMillis = 1_000; nowMillis < 11_000; nowMillis += 100) {
            fleet.get(0).admit(ACCOUNT, 0, nowMillis);
            gossip(fleet, nowMillis);
        }
        assertEquals(30, fleet.get(0).share(ACCOUNT, 11_000).requestsPerSecond(), 0.5);
        assertEquals(20, fleet.get(1).share(ACCOUNT, 11_000).requestsPerSecond(), 0.5);
    }

    @Test
    void silentPeersLeaveAnEvenShare() {
        List<AccountLimits> fleet = fleet(5);
        for (long nowMillis = 1_000; nowMillis < 6_000; nowMillis += 100) {
            fleet.get(0).admit(ACCOUNT, 0, nowMillis);
        }
        assertEquals(10, fleet.get(0).share(ACCOUNT, 6_000).requestsPerSecond(), 1e-9);
    }

    @Test
    void eachLimitRefusesWithATimeToComeBack() {
        AccountLimits limits = AccountLimits.create("i0");
        Admitted first = assertInstanceOf(Admitted.class, limits.admit(ACCOUNT, 7_000, 1_000));
        assertEquals(new Limited(LimitKind.TOKENS, 10_010), limits.admit(ACCOUNT, 1, 1_000));
        assertTrue(first.reservation().release(100));
        assertTrue(!first.reservation().release(100));
        for (int i = 0; i < ACCOUNT.maxConcurrent(); i++) {
            assertInstanceOf(Admitted.class, limits.admit(ACCOUNT, 1, 1_000));
        }
        assertEquals(LimitKind.CONCURRENT, ((Limited) limits.admit(ACCOUNT, 1, 1_000)).kind());
        AccountRule slow = new AccountRule("slow", "key", Set.of(), 0, 2, 6_000, 20);
        limits.admit(slow, 1, 1_000);
        limits.admit(slow, 1, 1_000);
        assertEquals(new Limited(LimitKind.REQUESTS, 500), limits.admit(slow, 1, 1_000));
    }
}
