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

class RequestSendsTest {
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final RetryBudget budget = RetryBudget.of(1, 100, 100);

    private RetryDecision decide(RequestSends attempts, int maxAttempts, Execution execution) {
        return RetryPolicy.immediate(maxAttempts).decide(attempts.factsAfter(execution, 1_000, 20), budget, random);
    }

    private static void attempt(RequestSends attempts, String endpoint, Execution execution) {
        attempts.sent(endpoint);
        attempts.ended(execution);
    }

    @Nested
    class CombinedExecution {
        @Test
        void isNotRunBeforeTheFirstAttempt() {
            assertEquals(Execution.NOT_RUN, RequestSends.create(false, 0).execution());
        }

        @Test
        void isMayHaveRunWhileAnAttemptIsOpen() {
            RequestSends attempts = RequestSends.create(false, 0);
            attempts.sent("a");

            assertEquals(Execution.MAY_HAVE_RUN, attempts.execution());
        }

        @Test
        void staysNotRunIfNoAttemptRan() {
            RequestSends attempts = RequestSends.create(false, 0);
            attempt(attempts, "a", Execution.NOT_RUN);
            attempt(attempts, "b", Execution.NOT_RUN);

            assertEquals(Execution.NOT_RUN, attempts.execution());
        }

        @Test
        void neverReturnsToNotRun() {
            RequestSends attempts = RequestSends.create(true, 0);
            attempt(attempts, "a", Execution.MAY_HAVE_RUN);
            attempt(attempts, "b", Execution.NOT_RUN);

            assertEquals(Execution.MAY_HAVE_RUN, attempts.execution());
        }
    }

    @Nested
    class Retries {
        @Test
        void doesNotRetryANonRepeatableRequestThatMayHaveRun() {
            RequestSends attempts = RequestSends.create(false, 3);
            attempts.sent("a");

            assertEquals(new Stop(StopReason.NOT_REPEATABLE), decide(attempts, 3, Execution.MAY_HAVE_RUN));
        }

        @Test
        void doesNotCountTheFirstAttemptsThatDidNotRun() {
            RequestSends attempts = RequestSends.create(false, 3);
            attempt(attempts, "a", Execution.NOT_RUN);
            attempt(attempts, "b", Execution.NOT_RUN);
            attempt(attempts, "c", Execution.NOT_RUN);
            assertInstanceOf(Retry.class, decide(attempts, 1, Execution.NOT_RUN));

            attempt(attempts, "d", Execution.NOT_RUN);
            assertEquals(new Stop(StopReason.ATTEMPTS_USED), decide(attempts, 1, Execution.NOT_RUN));
        }

        @Test
        void countsAnOpenAttemptByItsExecution() {
            RequestSends attempts = RequestSends.create(true, 3);
            attempt(attempts, "a", Execution.MAY_HAVE_RUN);
            attempts.sent("b");

            assertEquals(new Stop(StopReason.ATTEMPTS_USED), decide(attempts, 2, Execution.MAY_HAVE_RUN));
            assertInstanceOf(Retry.class, decide(attempts, 2, Execution.NOT_RUN));
        }
    }

    @Nested
    class Endpoints {
        @Test
        void stayExcludedUnlessAllowedAgain() {
            RequestSends attempts = RequestSends.create(true, 0);
            attempt(attempts, "a", Execution.MAY_HAVE_RUN);
            attempt(attempts, "b", Execution.MAY_HAVE_RUN);
            attempts.allowRetryAt("a");

            assertEquals(ImmutableSet.of("b"), attempts.tried());
        }

        @Test
        void allowOneOpenAttemptAtATime() {
            RequestSends attempts = RequestSends.create(true, 0);
            attempts.sent("a");

            assertThrows(IllegalStateException.class, () -> attempts.sent("b"));
        }
    }

    @Nested
    class DynamicBudget {
        @Test
        void limitsTokensToTheCurrentCapacity() {
            double[] capacity = {3};
            RetryBudget dynamicBudget = RetryBudget.following(() -> 1, () -> capacity[0]);
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
