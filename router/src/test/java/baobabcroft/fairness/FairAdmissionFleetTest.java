package baobabcroft.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fairness.FairnessFleet.Load;
import baobabcroft.fairness.FairnessFleet.Policy;
import baobabcroft.fairness.FairnessFleet.Share;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Loads that exceed what the endpoints serve, under the fair policy, the former one and a plain baseline. */
class FairAdmissionFleetTest {
    private static final long START_MILLIS = 5_000;
    private static final long SIX_SECONDS_LATER = START_MILLIS + 6_000;

    /** The first account has a quarter of the usual traffic, the others the rest. */
    private static double usual(double load, int account) {
        double share = account == 0 ? 0.25 : 0.75 / (FairnessFleet.ACCOUNTS - 1);
        return load * share * FairnessFleet.capacityPerSecond() / FairnessFleet.KINDS;
    }

    private static Load oneAccountSixfold() {
        return (account, kind, at) -> usual(0.7, account) * (account == 0 && at >= START_MILLIS ? 6 : 1);
    }

    private static FairnessFleet play(int instances, Policy policy, Load load, boolean loseSixth) {
        FairnessFleet fleet = new FairnessFleet(instances, 1);
        fleet.play(policy, load, START_MILLIS, SIX_SECONDS_LATER, loseSixth);
        return fleet;
    }

    private static void assertUrgentKindsServedBest(FairnessFleet fleet) {
        List<Share> kinds = fleet.byKind;
        for (int kind = 1; kind < kinds.size(); kind++) {
            assertTrue(
                    kinds.get(kind - 1).served() >= kinds.get(kind).served(),
                    kinds.get(kind - 1).served() + " < " + kinds.get(kind).served());
        }
    }

    /** One account with six times its usual traffic beside 23 small ones. */
    @ParameterizedTest
    @ValueSource(ints = {9, 82})
    void smallAccountsAreServedBesideOneWithSixTimesItsTraffic(int instances) {
        FairnessFleet former = play(instances, FairnessFleet.NO_CONTROL, oneAccountSixfold(), false);
        FairnessFleet baseline = play(instances, FairnessFleet.REFUSE_WHEN_FULL, oneAccountSixfold(), false);
        FairnessFleet fair = play(instances, FairnessFleet.FAIR, oneAccountSixfold(), false);

        // A small account may briefly have several times its usual requests under way, and be above its share itself.
        assertTrue(fair.servedFrom(1) > 0.99, "served " + fair.servedFrom(1));
        assertTrue(fair.leastServedFrom(1) > 0.9, "served " + fair.leastServedFrom(1));
        assertTrue(former.leastServedFrom(1) < 0.8, "served " + former.leastServedFrom(1));
        assertTrue(baseline.leastServedFrom(1) < 0.8, "served " + baseline.leastServedFrom(1));
        assertTrue(fair.served() > 0.95 * baseline.served(), fair.served() + " of " + baseline.served());
        assertUrgentKindsServedBest(fair);
        assertFalse(fair.refusedWithHalfFree);
    }

    /** Twice the traffic of the least urgent kind for six seconds. */
    @ParameterizedTest
    @ValueSource(ints = {9, 82})
    void urgentKindsAreServedBesideOneWithTwiceItsTraffic(int instances) {
        Load load = (account, kind, at) -> usual(0.95, account) * (kind == 2 && at >= START_MILLIS ? 2 : 1);
        FairnessFleet baseline = play(instances, FairnessFleet.REFUSE_WHEN_FULL, load, false);
        FairnessFleet fair = play(instances, FairnessFleet.FAIR, load, false);

        assertUrgentKindsServedBest(fair);
        assertTrue(fair.byKind.get(0).served() > baseline.byKind.get(0).served());
        assertTrue(fair.served() > 0.95 * baseline.served(), fair.served() + " of " + baseline.served());
    }

    /** An evacuated failure domain: a sixth of the endpoints is gone. */
    @ParameterizedTest
    @ValueSource(ints = {9, 82})
    void lossOfSixthIsBorneByLargeAccountAndLessUrgentKinds(int instances) {
        Load load = (account, kind, at) -> usual(1, account);
        FairnessFleet baseline = play(instances, FairnessFleet.REFUSE_WHEN_FULL, load, true);
        FairnessFleet fair = play(instances, FairnessFleet.FAIR, load, true);

        assertUrgentKindsServedBest(fair);
        assertTrue(fair.leastServedFrom(1) > baseline.leastServedFrom(1));
        assertTrue(fair.served() > 0.95 * baseline.served(), fair.served() + " of " + baseline.served());
    }

    /** Guards deployments with enough capacity: nothing is refused, however unequal the accounts are. */
    @Test
    void nobodyIsRefusedWhileThereIsRoom() {
        Load load = (account, kind, at) -> usual(0.7, account);
        assertEquals(1, play(9, FairnessFleet.FAIR, load, false).served());
    }

    /** A share follows the weight of its account. */
    @Test
    void accountOfGreaterWeightIsServedMore() {
        FairnessFleet weighted = new FairnessFleet(9, 4);
        weighted.play(
                FairnessFleet.FAIR,
                (account, kind, at) -> account < 4 ? 0.5 * FairnessFleet.capacityPerSecond() / FairnessFleet.KINDS : 0,
                START_MILLIS,
                SIX_SECONDS_LATER,
                false);

        assertTrue(weighted.byAccount.get(0).served > 1.5 * weighted.byAccount.get(1).served);
    }
}
