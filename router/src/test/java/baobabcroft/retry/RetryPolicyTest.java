package baobabcroft.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.retry.RetryDecision.Retry;
import baobabcroft.retry.RetryDecision.Stop;
import baobabcroft.retry.RetryDecision.StopReason;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class RetryPolicyTest {
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final RetryPolicy policy = RetryPolicy.defaults();

    private static RetryBudget fullBudget() {
        RetryBudget budget = RetryBudget.create();
        for (int i = 0; i < 1_000; i++) {
            budget.requestStarted();
        }
        return budget;
    }

    private RetryDecision decide(Execution execution, boolean idempotent, int attempts, RetryBudget budget) {
        return policy.decide(new RetryContext(execution, idempotent, attempts, 10_000, 100), budget, random);
    }

    @Test
    void retriesOnlyWhatHasNotRunOrIsIdempotent() {
        RetryBudget budget = fullBudget();
        assertInstanceOf(Retry.class, decide(Execution.NOT_RUN, false, 1, budget));
        assertInstanceOf(Retry.class, decide(Execution.MAY_HAVE_RUN, true, 1, budget));
        assertEquals(new Stop(StopReason.NOT_REPEATABLE), decide(Execution.MAY_HAVE_RUN, false, 1, budget));
        assertEquals(new Stop(StopReason.ALREADY_RAN), decide(Execution.RAN, true, 1, budget));
        assertEquals(new Stop(StopReason.ATTEMPTS_USED), decide(Execution.NOT_RUN, true, 3, budget));
        assertEquals(new Stop(StopReason.BUDGET), decide(Execution.NOT_RUN, true, 1, RetryBudget.create()));
    }

    @Property(tries = 500, seed = "11")
    void neverRetriesPastTheDeadline(
            @ForAll @LongRange(min = -100, max = 3_000) long remainingMillis,
            @ForAll @LongRange(min = 0, max = 2_000) long expectedMillis,
            @ForAll @IntRange(min = 1, max = 2) int attempts) {
        RetryContext context = new RetryContext(Execution.NOT_RUN, true, attempts, remainingMillis, expectedMillis);
        if (policy.decide(context, fullBudget(), random) instanceof Retry retry) {
            assertTrue(retry.delayMillis() >= 0 && retry.delayMillis() + expectedMillis < remainingMillis);
        }
    }

    @Property(tries = 50, seed = "11")
    void retriesNeverExceedATenthOfRequests(@ForAll @IntRange(min = 1, max = 2_000) int requests) {
        RetryBudget budget = RetryBudget.create();
        int retries = 0;
        for (int i = 1; i <= requests; i++) {
            budget.requestStarted();
            retries += budget.tryTake() ? 1 : 0;
            assertTrue(retries <= i * 0.1 + 1e-9);
        }
    }
}
