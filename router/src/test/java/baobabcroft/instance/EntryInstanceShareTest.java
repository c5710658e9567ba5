package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.retry.RetryBudget;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** What one instance takes of what all instances share. */
class EntryInstanceShareTest {
    /** Pattern: one of 82 instances, two of five answers of the smallest model are in doubt and asked again. */
    @Test
    void savesEnoughRepeatedSendsForARunOfDoubtfulAnswers() {
        double refused = refusedShare(EntryInstance.savedRetries(204, 82));
        double refusedWithAnEvenPartOfTheSlack = refusedShare(0.7 * 204 / 82);

        assertTrue(refused < 0.01, "refused: " + refused);
        assertTrue(refusedWithAnEvenPartOfTheSlack > 0.05, "refused: " + refusedWithAnEvenPartOfTheSlack);
    }

    private static double refusedShare(double savedRetries) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
        RetryBudget budget = RetryBudget.withDynamicLimits(() -> 0.63, () -> savedRetries);
        int asked = 0;
        int refused = 0;
        for (int request = 0; request < 10_000; request++) {
            budget.requestStarted();
            if (random.nextDouble() < 0.45) {
                asked++;
                refused += budget.tryTake() ? 0 : 1;
            }
        }
        return (double) refused / asked;
    }

    /** Pattern: an engine of 98 says something new each 100 ms for a minute; each change wakes 82 watches. */
    @Test
    void keepsTheCallsOfALargeFleetUnderWhatEachChangeAtOnceWouldCost() {
        long callsPerInstance = 60_000 / EntryInstance.watchPauseMillis(82);

        assertTrue(82 * callsPerInstance < 82 * 60_000 / 350 / 2, "calls: " + 82 * callsPerInstance);
    }

    @Test
    void isShortInASmallFleetAndBoundedInAnyOther() {
        assertEquals(350, EntryInstance.watchPauseMillis(1));
        assertEquals(350, EntryInstance.watchPauseMillis(9));
        assertEquals(500, EntryInstance.watchPauseMillis(20));
        assertEquals(900, EntryInstance.watchPauseMillis(710));
    }
}
