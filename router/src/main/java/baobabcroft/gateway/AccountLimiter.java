package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.limit.AccountLimits;
import baobabcroft.limit.LimitDecision;
import baobabcroft.limit.LimitDecision.Admitted;
import baobabcroft.limit.LimitDecision.Limited;
import baobabcroft.limit.LimitReservation;
import baobabcroft.metrics.RouterMetrics;
import java.time.InstantSource;
import java.util.Locale;

/** Admits requests within the limits of their client accounts. Thread-safe. */
final class AccountLimiter {
    private final AccountLimits limits;
    private final InstantSource wallClock;
    private final RouterMetrics metrics;

    AccountLimiter(AccountLimits limits, InstantSource wallClock, RouterMetrics metrics) {
        this.limits = checkNotNull(limits);
        this.wallClock = checkNotNull(wallClock);
        this.metrics = checkNotNull(metrics);
    }

    /**
     * Admits a request.
     *
     * @param expectedTokens number of tokens that the request is expected to generate; zero for an operation
     * @return the usage charged against the limits, to be ended when the request ends
     * @throws RouterException with {@code account_limit} and execution status "not run" if a limit is exceeded
     */
    LimitReservation admit(CallerRequest caller, long expectedTokens) {
        LimitDecision decision = limits.admit(caller.account(), expectedTokens, wallClock.millis());
        if (decision instanceof Admitted admitted) {
            return admitted.reservation();
        }
        Limited limited = (Limited) decision;
        String kind = limited.kind().name().toLowerCase(Locale.ROOT);
        metrics.count("account_limit." + kind);
        throw RouterException.notRun(
                ErrorCode.ACCOUNT_LIMIT,
                "account " + caller.account().name() + " has exhausted its limit: " + kind,
                limited.retryAfterMillis());
    }
}
