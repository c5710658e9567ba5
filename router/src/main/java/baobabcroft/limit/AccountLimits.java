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
 * This instance's share of the limits of all accounts.
 *
 * <p>Each instance tells its demand of a time slot once the slot has ended, and all compute the shares of the slot two
 * later from the same reports. When all live instances hear each other, the shares add up to the limit. When reports
 * are missing, an instance takes an even share among the live instances; instances that miss different reports may then
 * together exceed the limit, by less than a factor of two, until reports flow again or the live list shrinks. Across a
 * cut that all notice, every instance takes the even share of the platform's live list, and the sum holds.
 *
 * <p>Bursts: a full bucket holds one second of the share of requests, at least one, and one minute of the share of
 * tokens. Requests that already run keep their place when a share shrinks.
 *
 * <p>Thread-safe; the lock is held for a few steps a request.
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
     * The parts of an account's limits that one instance takes.
     *
     * @param requestsPerSecond requests a second
     * @param tokensPerMinute tokens a minute
     * @param maxConcurrent requests at once
     */
    public record Share(double requestsPerSecond, double tokensPerMinute, long maxConcurrent) {}

    private AccountLimits(String self) {
        this.self = self;
        this.ledger = new DemandLedger(self);
    }

    /**
     * Returns limits of which this instance holds all until it is told of others.
     *
     * @param self name of this instance, another one after each start
     * @return the limits
     */
    public static AccountLimits create(String self) {
        checkArgument(!self.isEmpty(), "empty instance name");
        return new AccountLimits(self);
    }

    /**
     * Sets the instances that share the limits.
     *
     * @param instances names of the live instances; this one is added
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
     * Takes another instance's demand.
     *
     * @param report what it told
     */
    public synchronized void addReport(DemandReport report) {
        ledger.hear(checkNotNull(report));
    }

    /**
     * Returns this instance's demand of the latest slot that has ended, to tell all others in each slot.
     *
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return the report, if this instance has run for a slot
     */
    public synchronized Optional<DemandReport> ownReport(long nowEpochMillis) {
        advance(nowEpochMillis);
        return ledger.ownReport(nowEpochMillis / DemandLedger.SLOT_MILLIS - 1);
    }

    /**
     * Returns this instance's share of an account's limits.
     *
     * @param rule the account
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return the share in force now
     */
    public synchronized Share share(AccountRule rule, long nowEpochMillis) {
        advance(nowEpochMillis);
        return shareOf(rule, state(rule, nowEpochMillis));
    }

    /**
     * Decides whether a request may go on, and counts it as demand either way.
     *
     * @param rule the account
     * @param expectedTokens tokens that the request may generate
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return admitted with a hold on the limits, or limited with a time to come back
     */
    public synchronized LimitDecision admit(AccountRule rule, long expectedTokens, long nowEpochMillis) {
        checkArgument(expectedTokens >= 0, "negative expectedTokens: %s", expectedTokens);
        advance(nowEpochMillis);
        ledger.count(rule.name());
        AccountState state = state(rule, nowEpochMillis);
        Share share = shareOf(rule, state);
        state.requests.fill(share.requestsPerSecond(), Math.max(1, share.requestsPerSecond()), nowEpochMillis);
        state.tokens.fill(share.tokensPerMinute() / SECONDS_PER_MINUTE, share.tokensPerMinute(), nowEpochMillis);
        if (!state.requests.holds(1)) {
            return new Limited(LimitKind.REQUESTS, state.requests.millisUntil(1));
        }
        if (expectedTokens > 0 && !state.tokens.holds(1)) {
            return new Limited(LimitKind.TOKENS, state.tokens.millisUntil(1));
        }
        if (state.running >= share.maxConcurrent()) {
            return new Limited(LimitKind.CONCURRENT, DemandLedger.SLOT_MILLIS);
        }
        state.requests.take(1);
        state.tokens.take((double) expectedTokens);
        state.running++;
        return new Admitted(new LimitReservation(generated -> ended(state, expectedTokens - generated)));
    }

    private synchronized void ended(AccountState state, long unusedTokens) {
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
        long concurrent =
                WholeShares.split(rule.maxConcurrent(), state.fractions).get(self);
        return new Share(rule.requestsPerSecond() * fraction, rule.tokensPerMinute() * fraction, concurrent);
    }
}
