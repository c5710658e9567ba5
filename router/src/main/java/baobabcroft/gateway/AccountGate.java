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

/** Lets requests through within their account's limits. Thread-safe. */
final class AccountGate {
    private final AccountLimits limits;
    private final InstantSource wallClock;
    private final RouterMetrics metrics;

    AccountGate(AccountLimits limits, InstantSource wallClock, RouterMetrics metrics) {
        this.limits = checkNotNull(limits);
        this.wallClock = checkNotNull(wallClock);
        this.metrics = checkNotNull(metrics);
    }

    /** Returns the hold on the limits, to be ended with the request; throws {@code account_limit}, not run. */
    LimitReservation enter(CallerRequest caller, long expectedTokens) {
        LimitDecision decision = limits.admit(caller.account(), expectedTokens, wallClock.millis());
        if (decision instanceof Admitted admitted) {
            return admitted.reservation();
        }
        Limited limited = (Limited) decision;
        String kind = limited.kind().name().toLowerCase(Locale.ROOT);
        metrics.count("account_limit." + kind);
        throw RouterException.notRun(
                ErrorCode.ACCOUNT_LIMIT,
                "account " + caller.account().name() + " has used up its limit of " + kind,
                limited.retryAfterMillis());
    }
}
