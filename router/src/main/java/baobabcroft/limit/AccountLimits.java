package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.limit.LimitDecision.Admitted;
import baobabcroft.limit.LimitDecision.LimitKind;
import baobabcroft.limit.LimitDecision.Limited;
import baobabcroft.rules.AccountRule;
import com.google.common.collect.ImmutableSortedSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Enforces this instance's share of the limits of all client accounts.
 *
 * <p>When a time slot has ended, each instance reports its demand in that slot to all others, and all instances compute
 * the shares of the second slot after it from the same reports. While all live instances receive each other's reports,
 * the shares add up to the limit.
 *
 * <p>An instance that misses the report of a live instance takes an even share among the live instances. Instances that
 * miss different reports may together exceed the limit, by less than a factor of two, until reports arrive again or the
 * live list shrinks. In a network partition that all instances detect, each takes an even share by the platform's live
 * list, and the shares still add up to the limit.
 *
 * <p>Bursts: a full bucket holds the requests of one second of the share, at least one, and the tokens of one minute of
 * the share. Requests that already run are not affected when a share shrinks.
 *
 * <p>Thread-safe; no method holds the lock for long.
 */
public final class AccountLimits {
    private static final double SECONDS_PER_MINUTE = 60;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String self;
    private final DemandLedger ledger;
    private final Map<String, AccountState> accounts = new HashMap<>();
    private long slot = Long.MIN_VALUE;

    private static final class AccountState {
        private final TokenBucket requests;
        private final TokenBucket tokens;
        private Map<String, Double> fractions = Map.of();
        private long fractionsSlot = Long.MIN_VALUE;
        private int running;

        AccountState(AccountRule rule, double fraction, long nowMillis) {
            double perSecond = rule.requestsPerSecond() * fraction;
            requests = new TokenBucket(perSecond, Math.max(1, perSecond), nowMillis);
            double perMinute = rule.tokensPerMinute() * fraction;
            tokens = new TokenBucket(perMinute / SECONDS_PER_MINUTE, perMinute, nowMillis);
        }
    }

    /**
     * Share of one instance in the limits of an account.
     *
     * @param requestsPerSecond requests allowed each second
     * @param tokensPerMinute generated tokens allowed each minute
     * @param maxConcurrent concurrent requests allowed
     */
    public record Share(double requestsPerSecond, double tokensPerMinute, long maxConcurrent) {}

    private AccountLimits(String self) {
        this.self = self;
        this.ledger = new DemandLedger(self);
    }

    /**
     * Returns limits with this instance as the only live one; its share is the whole limit.
     *
     * @param self origin name of this instance; must differ after each start
     * @return the limits
     */
    public static AccountLimits create(String self) {
        checkArgument(!self.isEmpty(), "empty instance name");
        return new AccountLimits(self);
    }

    /**
     * Sets the instances that share the limits.
     *
     * @param instances origin names of the live instances; this instance is always added
     */
    public synchronized void setLiveInstances(Set<String> instances) {
        ledger.setLive(ImmutableSortedSet.<String>naturalOrder()
                .addAll(instances)
                .add(self)
                .build());
        slot = Long.MIN_VALUE;
        accounts.values().forEach(state -> state.fractionsSlot = Long.MIN_VALUE);
    }

    /**
     * Adds the demand report of another instance.
     *
     * @param report the demand of one time slot
     */
    public synchronized void addReport(DemandReport report) {
        ledger.addReport(checkNotNull(report));
    }

    /**
     * Returns this instance's demand in the latest time slot that has ended. It must be sent to all other instances in
     * each slot.
     *
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return the report, or empty if no slot has ended since the start of this instance
     */
    public synchronized Optional<DemandReport> ownReport(long nowEpochMillis) {
        advance(nowEpochMillis);
        return ledger.ownReport(nowEpochMillis / DemandLedger.SLOT_MILLIS - 1);
    }

    /**
     * Returns this instance's share of an account's limits.
     *
     * @param rule configuration of the account
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return the share in the current time slot
     */
    public synchronized Share share(AccountRule rule, long nowEpochMillis) {
        advance(nowEpochMillis);
        return shareOf(rule, state(rule, nowEpochMillis));
    }

    /**
     * Decides whether the limits allow a request, and counts it as demand in either case.
     *
     * @param rule configuration of the account
     * @param expectedTokens most tokens that the request may generate; charged until it ends
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return admitted with a reservation to be released, or limited with the delay before a retry
     */
    public synchronized LimitDecision admit(AccountRule rule, long expectedTokens, long nowEpochMillis) {
        checkArgument(expectedTokens >= 0, "negative expectedTokens: %s", expectedTokens);
        advance(nowEpochMillis);
        ledger.count(rule.name());
        AccountState state = state(rule, nowEpochMillis);
        Share share = shareOf(rule, state);
        state.requests.refill(share.requestsPerSecond(), Math.max(1, share.requestsPerSecond()), nowEpochMillis);
        state.tokens.refill(share.tokensPerMinute() / SECONDS_PER_MINUTE, share.tokensPerMinute(), nowEpochMillis);
        if (!state.requests.hasAtLeast(1)) {
            return new Limited(LimitKind.REQUESTS, state.requests.millisUntil(1));
        }
        if (expectedTokens > 0 && !state.tokens.hasAtLeast(1)) {
            return new Limited(LimitKind.TOKENS, state.tokens.millisUntil(1));
        }
        if (state.running >= share.maxConcurrent()) {
            return new Limited(LimitKind.CONCURRENT, DemandLedger.SLOT_MILLIS);
        }
        state.requests.take(1);
        state.tokens.take((double) expectedTokens);
        state.running++;
        return new Admitted(new LimitReservation(generated -> release(state, expectedTokens - generated)));
    }

    private synchronized void release(AccountState state, long unusedTokens) {
        state.running--;
        state.tokens.take((double) -unusedTokens);
    }

    private void advance(long nowEpochMillis) {
        long nowSlot = nowEpochMillis / DemandLedger.SLOT_MILLIS;
        if (nowSlot > slot) {
            ledger.advanceTo(nowSlot);
            slot = nowSlot;
        }
    }

    private AccountState state(AccountRule rule, long nowEpochMillis) {
        AccountState state = accounts.computeIfAbsent(
                rule.name(), name -> new AccountState(rule, fractions(rule).get(self), nowEpochMillis));
        if (state.fractionsSlot != slot) {
            state.fractions = fractions(rule);
            state.fractionsSlot = slot;
        }
        return state;
    }

    private Map<String, Double> fractions(AccountRule rule) {
        double limitPerSlot = rule.requestsPerSecond() * DemandLedger.SLOT_MILLIS / MILLIS_PER_SECOND;
        return ledger.fractions(rule.name(), limitPerSlot);
    }

    private Share shareOf(AccountRule rule, AccountState state) {
        double fraction = state.fractions.get(self);
        long concurrent = LargestRemainder.apportion(rule.maxConcurrent(), state.fractions)
                .get(self);
        return new Share(rule.requestsPerSecond() * fraction, rule.tokensPerMinute() * fraction, concurrent);
    }
}
