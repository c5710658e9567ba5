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

    private RetryDecision next(RequestAttempts sends, int maxAttempts, Execution verdict) {
        return RetryPolicy.immediate(maxAttempts).decide(sends.retryContext(verdict, 1_000, 20), budget, random);
    }

    private static void send(RequestAttempts sends, String endpoint, Execution verdict) {
        sends.attemptStarted(endpoint);
        sends.attemptEnded(verdict);
    }

    @Nested
    class Verdict {
        @Test
        void isNotRunUntilSomethingWasSent() {
            assertEquals(Execution.NOT_RUN, RequestAttempts.create(false, 0).execution());
        }

        @Test
        void isMayHaveRunWhileASendIsOpen() {
            RequestAttempts sends = RequestAttempts.create(false, 0);
            sends.attemptStarted("a");

            assertEquals(Execution.MAY_HAVE_RUN, sends.execution());
        }

        @Test
        void staysNotRunWhenAllEndpointsSaidSo() {
            RequestAttempts sends = RequestAttempts.create(false, 0);
            send(sends, "a", Execution.NOT_RUN);
            send(sends, "b", Execution.NOT_RUN);

            assertEquals(Execution.NOT_RUN, sends.execution());
        }

        @Test
        void neverGoesBackToNotRun() {
            RequestAttempts sends = RequestAttempts.create(true, 0);
            send(sends, "a", Execution.MAY_HAVE_RUN);
            send(sends, "b", Execution.NOT_RUN);

            assertEquals(Execution.MAY_HAVE_RUN, sends.execution());
        }
    }

    @Nested
    class Again {
        @Test
        void refusesToRepeatWhatMayHaveRun() {
            RequestAttempts sends = RequestAttempts.create(false, 3);
            sends.attemptStarted("a");

            assertEquals(new Stop(StopReason.NOT_REPEATABLE), next(sends, 3, Execution.MAY_HAVE_RUN));
        }

        @Test
        void countsNoAttemptForFreeSendsThatRanNothing() {
            RequestAttempts sends = RequestAttempts.create(false, 3);
            send(sends, "a", Execution.NOT_RUN);
            send(sends, "b", Execution.NOT_RUN);
            send(sends, "c", Execution.NOT_RUN);
            assertInstanceOf(Retry.class, next(sends, 1, Execution.NOT_RUN));

            send(sends, "d", Execution.NOT_RUN);
            assertEquals(new Stop(StopReason.ATTEMPTS_USED), next(sends, 1, Execution.NOT_RUN));
        }

        @Test
        void countsAnOpenSendByItsVerdict() {
            RequestAttempts sends = RequestAttempts.create(true, 3);
            send(sends, "a", Execution.MAY_HAVE_RUN);
            sends.attemptStarted("b");

            assertEquals(new Stop(StopReason.ATTEMPTS_USED), next(sends, 2, Execution.MAY_HAVE_RUN));
            assertInstanceOf(Retry.class, next(sends, 2, Execution.NOT_RUN));
        }
    }

    @Nested
    class Endpoints {
        @Test
        void stayTriedUnlessAllowedAgain() {
            RequestAttempts sends = RequestAttempts.create(true, 0);
            send(sends, "a", Execution.MAY_HAVE_RUN);
            send(sends, "b", Execution.MAY_HAVE_RUN);
            sends.allowAgain("a");

            assertEquals(ImmutableSet.of("b"), sends.triedEndpoints());
        }

        @Test
        void takeOneSendAtATime() {
            RequestAttempts sends = RequestAttempts.create(true, 0);
            sends.attemptStarted("a");

            assertThrows(IllegalStateException.class, () -> sends.attemptStarted("b"));
        }
    }

    @Nested
    class FollowingBudget {
        @Test
        void savesNoMoreThanThePresentBound() {
            double[] bound = {3};
            RetryBudget following = RetryBudget.withDynamicLimits(() -> 1, () -> bound[0]);
            for (int i = 0; i < 10; i++) {
                following.requestStarted();
            }
            bound[0] = 0.2;
            following.requestStarted();

            assertEquals(true, following.tryTake());
            assertEquals(false, following.tryTake());
        }
    }
}
