package baobabcroft.fairness;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Decides at the arrival of a request whether its client account may use a service whose endpoints are full. Requests
 * never wait here. Not thread-safe.
 */
public final class FairAdmission {
    /**
     * Occupancy from which accounts far above their shares are refused; at 1, all above their shares are. Loads of
     * other instances are known late, and an eighth of the slots absorbs what arrives in between.
     */
    private static final double FULL_FROM = 0.875;
    /** Part of an account's share that its least urgent requests leave to more urgent ones. */
    private static final double URGENT_PART = 0.5;
    /**
     * Share of the requests under way that must be known by account; before, nobody is refused. It is reached within a
     * second of the beginning of contention, and not while a quarter of the fleet runs a build that reports none.
     */
    private static final double MIN_KNOWN_SHARE = 0.75;
    /** Time for which the use of a service is not read again, in milliseconds: a few notices of other instances. */
    private static final long USE_VALID_MILLIS = 100;
    /** The use of a service is read again once requests for one part in this many of its slots have begun or ended. */
    private static final long MAX_UNREAD_PART = 16;
    /** Weight of a request in the moving average of the time for which requests are under way. */
    private static final double DURATION_SMOOTHING = 0.05;
    /** Time for which requests are under way before any has ended, in milliseconds. */
    private static final double DEFAULT_DURATION_MILLIS = 1_000;
    /** Shortest retry delay, in milliseconds: a refused caller must not come back before the next notices. */
    private static final long MIN_RETRY_MILLIS = 400;
    /** Longest retry delay, in milliseconds: overloads last seconds. */
    private static final long MAX_RETRY_MILLIS = 10_000;

    private final LongSupplier nowMillis;
    private final AccountUses uses;
    private final Function<String, ServiceUse> serviceUse;
    private final Function<String, Map<AccountSubject, Double>> weightsOfAccounts;
    private final Listener listener;
    private final Map<String, ServiceState> services = new HashMap<>();

    /** Notified of refusals. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when a request is refused.
         *
         * @param request the request
         * @param aboveShare what the account would use with it, as a multiple of what it may use
         * @param occupancy used share of the service's slots or memory
         */
        void onRefused(FairRequest request, double aboveShare, double occupancy);
    }

    /** One admitted request until it ends. */
    @FunctionalInterface
    public interface Admitted {
        /** A request that is not counted. */
        Admitted NONE = () -> {};

        /** Ends the request. */
        void end();
    }

    private static final class ServiceState {
        private ServiceUse use = new ServiceUse(0, 0, 0, 0);
        private long readAtMillis = Long.MIN_VALUE;
        private long startedSince;
        private double level = Double.POSITIVE_INFINITY;
        private Map<AccountSubject, AccountUse> accounts = Map.of();
        private final Map<AccountSubject, Integer> startedByAccount = new HashMap<>();
        private double durationMillis = DEFAULT_DURATION_MILLIS;

        private boolean isOutdated(long now) {
            return readAtMillis == Long.MIN_VALUE
                    || now - readAtMillis >= USE_VALID_MILLIS
                    || Math.abs(startedSince) * MAX_UNREAD_PART > use.slots();
        }

        private ServiceUse useNow() {
            return use.plus(startedSince);
        }
    }

    private FairAdmission(
            LongSupplier nowMillis,
            AccountUses uses,
            Function<String, ServiceUse> serviceUse,
            Function<String, Map<AccountSubject, Double>> weightsOfAccounts,
            Listener listener) {
        this.nowMillis = nowMillis;
        this.uses = uses;
        this.serviceUse = serviceUse;
        this.weightsOfAccounts = weightsOfAccounts;
        this.listener = listener;
    }

    /**
     * Returns an object without any requests.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param uses what accounts use
     * @param serviceUse returns the use of a service by its name
     * @param weightsOfAccounts returns the weights of all accounts of a service by its name
     * @param listener notified of refusals
     * @return the new object
     */
    public static FairAdmission create(
            LongSupplier nowMillis,
            AccountUses uses,
            Function<String, ServiceUse> serviceUse,
            Function<String, Map<AccountSubject, Double>> weightsOfAccounts,
            Listener listener) {
        return new FairAdmission(
                checkNotNull(nowMillis),
                checkNotNull(uses),
                checkNotNull(serviceUse),
                checkNotNull(weightsOfAccounts),
                checkNotNull(listener));
    }

    /**
     * Returns whether a request is refused.
     *
     * @param request the request
     * @return the time until the account is expected to be within its share, in milliseconds; empty if it is admitted
     */
    public OptionalLong refusalMillis(FairRequest request) {
        ServiceState state = current(request.service());
        ServiceUse use = state.useNow();
        if (!use.mayRefuse() || use.occupancy() < FULL_FROM || Double.isInfinite(state.level)) {
            return OptionalLong.empty();
        }
        AccountSubject subject = request.subject();
        AccountUse account = state.accounts.getOrDefault(subject, AccountUse.NONE);
        int inFlight = account.inFlight() + state.startedByAccount.getOrDefault(subject, 0);
        if (inFlight <= 0) {
            return OptionalLong.empty();
        }
        double used = use.isMemoryScarcer() ? account.heldTokens() + request.tokens() : inFlight + 1;
        double allowed = request.weight() * state.level * (1 - URGENT_PART * request.precedence());
        double aboveShare = used / allowed;
        if (aboveShare <= 1 || use.occupancy() < threshold(aboveShare)) {
            return OptionalLong.empty();
        }
        listener.onRefused(request, aboveShare, use.occupancy());
        double waitMillis = state.durationMillis * (1 - 1 / aboveShare);
        return OptionalLong.of(Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, (long) waitMillis)));
    }

    /** Returns the occupancy from which requests of an account so far above its share are refused. */
    private static double threshold(double aboveShare) {
        return 1 - (1 - FULL_FROM) * (1 - 1 / aboveShare);
    }

    /**
     * Counts a request that is admitted.
     *
     * @param request the request
     * @return the handle that ends it
     */
    public Admitted start(FairRequest request) {
        long startedAtMillis = nowMillis.getAsLong();
        AccountSubject subject = request.subject();
        add(request, subject, 1);
        return () -> {
            add(request, subject, -1);
            ServiceState state = state(request.service());
            state.durationMillis +=
                    DURATION_SMOOTHING * (nowMillis.getAsLong() - startedAtMillis - state.durationMillis);
        };
    }

    private void add(FairRequest request, AccountSubject subject, int sign) {
        uses.addOwn(request.service(), subject, new AccountUse(sign, sign * request.tokens()));
        ServiceState state = state(request.service());
        state.startedSince += sign;
        state.startedByAccount.merge(subject, sign, Integer::sum);
    }

    /**
     * Returns what to report to other instances of the failure domain.
     *
     * @return this instance's uses of services that are contended
     */
    public ImmutableMap<AccountSubject, AccountUse> ownReport() {
        return uses.own(this::isContended);
    }

    /**
     * Returns what to report to other failure domains.
     *
     * @return the failure domain's uses of services that are contended
     */
    public ImmutableMap<AccountSubject, AccountUse> domainReport() {
        return uses.ownDomain(this::isContended);
    }

    private boolean isContended(String service) {
        return current(service).useNow().isContended();
    }

    private ServiceState state(String service) {
        return services.computeIfAbsent(service, unused -> new ServiceState());
    }

    /** Returns the state of a service, read again if it is too old. */
    private ServiceState current(String service) {
        ServiceState state = state(service);
        long now = nowMillis.getAsLong();
        if (state.isOutdated(now)) {
            state.readAtMillis = now;
            state.use = serviceUse.apply(service);
            state.startedSince = 0;
            state.startedByAccount.clear();
            state.level = Double.POSITIVE_INFINITY;
            if (state.use.isContended()) {
                readLevel(service, state);
            }
        }
        return state;
    }

    private void readLevel(String service, ServiceState state) {
        Map<AccountSubject, Double> weights = weightsOfAccounts.apply(service);
        boolean byMemory = state.use.isMemoryScarcer();
        state.accounts = uses.of(weights.keySet());
        double total = byMemory ? state.use.heldTokens() : state.use.inFlight();
        double known = state.accounts.values().stream()
                .mapToDouble(use -> amount(use, byMemory))
                .sum();
        if (known == 0 || known < MIN_KNOWN_SHARE * total) {
            return;
        }
        addUnknownToLargest(state, known);
        List<MaxMinLevel.Use> amounts = new ArrayList<>();
        state.accounts.forEach(
                (subject, use) -> amounts.add(new MaxMinLevel.Use(amount(use, byMemory), weights.get(subject))));
        double capacity = FULL_FROM * (byMemory ? state.use.memoryTokens() : state.use.slots());
        state.level = MaxMinLevel.of(capacity, amounts);
    }

    private static double amount(AccountUse use, boolean byMemory) {
        return byMemory ? use.heldTokens() : use.inFlight();
    }

    /**
     * Attributes what is not known by account to the account that uses most. It is the likeliest owner, and a small
     * account must not be refused for requests that it has not sent.
     */
    private static void addUnknownToLargest(ServiceState state, double known) {
        boolean byMemory = state.use.isMemoryScarcer();
        double total = byMemory ? state.use.heldTokens() : state.use.inFlight();
        long unknown = (long) Math.max(0, total - known);
        AccountSubject largest = Collections.max(
                        state.accounts.entrySet(),
                        Comparator.comparingDouble(entry -> amount(entry.getValue(), byMemory)))
                .getKey();
        AccountUse added = byMemory ? new AccountUse(0, unknown) : new AccountUse((int) unknown, 0);
        state.accounts.merge(largest, added, AccountUse::plus);
    }
}
