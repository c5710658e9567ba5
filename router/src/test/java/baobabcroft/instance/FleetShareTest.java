package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.retry.RetryBudget;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Tests the share that one instance takes of limits on the whole fleet. */
class FleetShareTest {
    /**
     * In a fleet of 82 instances, two of five answers of the smallest model have a low confidence and are sent again.
     * With an even part of the retry slack, a random run of such answers would exhaust the budget.
     */
    @Test
    void retryTokenCapacityCoversRunsOfLowConfidenceAnswers() {
        double refused = refusedShare(RelayInstance.retryTokenCapacity(204, 82));
        double refusedWithEvenShare = refusedShare(0.7 * 204 / 82);

        assertTrue(refused < 0.01, "refused: " + refused);
        assertTrue(refusedWithEvenShare > 0.05, "refused: " + refusedWithEvenShare);
    }

    private static double refusedShare(double maxTokens) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
        RetryBudget budget = RetryBudget.withDynamicLimits(() -> 0.63, () -> maxTokens);
        int attempted = 0;
        int refused = 0;
        for (int request = 0; request < 10_000; request++) {
            budget.requestStarted();
            if (random.nextDouble() < 0.45) {
                attempted++;
                refused += budget.tryTake() ? 0 : 1;
            }
        }
        return (double) refused / attempted;
    }
}
