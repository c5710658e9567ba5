package baobabcroft.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import baobabcroft.common.Execution;
import baobabcroft.retry.RetryDecision.Retry;
import baobabcroft.retry.RetryDecision.Stop;
import baobabcroft.retry.RetryDecision.StopReason;
import com.google.common.collect.ImmutableSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestAttemptsTest {
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final RetryBudget budget = RetryBudget.of(1, 100, 100);

    private RetryDecision decide(RequestAttempts attempts, int maxAttempts, Execution execution) {
        return RetryPolicy.immediate(maxAttempts).decide(attempts.retryContext(execution, 1_000, 20), budget, random);
    }

    private static void attempt(RequestAttempts attempts, String endpoint, Execution execution) {
        attempts.attemptStarted(endpoint);
        attempts.attemptEnded(execution);
    }

    @Nested
    class CombinedExecution {
        @Test
        void isNotRunBeforeTheFirstAttempt() {
            assertEquals(Execution.NOT_RUN, RequestAttempts.create(false, 0).execution());
        }

        @Test
        void isMayHaveRunWhileAnAttemptIsOpen() {
            RequestAttempts attempts = RequestAttempts.create(false, 0);
            attempts.attemptStarted("a");

            assertEquals(Execution.MAY_HAVE_RUN, attempts.execution());
        }

        @Test
        void staysNotRunIfNoAttemptRan() {
            RequestAttempts attempts = RequestAttempts.create(false, 0);
            attempt(attempts, "a", Execution.NOT_RUN);
            attempt(attempts, "b", Execution.NOT_RUN);

            assertEquals(Execution.NOT_RUN, attempts.execution());
        }

        @Test
        void neverReturnsToNotRun() {
            RequestAttempts attempts = RequestAttempts.create(true, 0);
            attempt(attempts, "a", Execution.MAY_HAVE_RUN);
            attempt(attempts, "b", Execution.NOT_RUN);

            assertEquals(Execution.MAY_HAVE_RUN, attempts.execution());
        }
    }

    @Nested
    class Retries {
        @Test
        void doesNotRetryANonRepeatableRequestThatMayHaveRun() {
            RequestAttempts attempts = RequestAttempts.create(false, 3);
            attempts.attemptStarted("a");

            assertEquals(new Stop(StopReason.NOT_REPEATABLE), decide(attempts, 3, Execution.MAY_HAVE_RUN));
        }

        @Test
        void doesNotCountTheFirstAttemptsThatDidNotRun() {
            RequestAttempts attempts = RequestAttempts.create(false, 3);
            attempt(attempts, "a", Execution.NOT_RUN);
            attempt(attempts, "b", Execution.NOT_RUN);
            attempt(attempts, "c", Execution.NOT_RUN);
            assertInstanceOf(Retry.class, decide(attempts, 1, Execution.NOT_RUN));

            attempt(attempts, "d", Execution.NOT_RUN);
            assertEquals(new Stop(StopReason.ATTEMPTS_USED), decide(attempts, 1, Execution.NOT_RUN));
        }

        @Test
        void countsAnOpenAttemptByItsExecution() {
            RequestAttempts attempts = RequestAttempts.create(true, 3);
            attempt(attempts, "a", Execution.MAY_HAVE_RUN);
            attempts.attemptStarted("b");

            assertEquals(new Stop(StopReason.ATTEMPTS_USED), decide(attempts, 2, Execution.MAY_HAVE_RUN));
            assertInstanceOf(Retry.class, decide(attempts, 2, Execution.NOT_RUN));
        }
    }

    @Nested
    class Endpoints {
        @Test
        void stayExcludedUnlessAllowedAgain() {
            RequestAttempts attempts = RequestAttempts.create(true, 0);
            attempt(attempts, "a", Execution.MAY_HAVE_RUN);
            attempt(attempts, "b", Execution.MAY_HAVE_RUN);
            attempts.allowRetryAt("a");

            assertEquals(ImmutableSet.of("b"), attempts.triedEndpoints());
        }

        @Test
        void allowOneOpenAttemptAtATime() {
            RequestAttempts attempts = RequestAttempts.create(true, 0);
            attempts.attemptStarted("a");

            assertThrows(IllegalStateException.class, () -> attempts.attemptStarted("b"));
        }
    }

    @Nested
    class DynamicBudget {
        @Test
        void limitsTokensToTheCurrentCapacity() {
            double[] capacity = {3};
            RetryBudget dynamicBudget = RetryBudget.withDynamicLimits(() -> 1, () -> capacity[0]);
            for (int i = 0; i < 10; i++) {
                dynamicBudget.requestStarted();
            }
            capacity[0] = 0.2;
            dynamicBudget.requestStarted();

            assertEquals(true, dynamicBudget.tryTake());
            assertEquals(false, dynamicBudget.tryTake());
        }
    }
}
