package baobabcroft.balance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.EndpointRule;
import baobabcroft.rules.RuleSet;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The endpoints of the current rules, with their load, their health and this instance's requests in flight on them.
 *
 * <p>Thread-safe. Choosing an endpoint takes no lock on the pool, only the short-held lock of each endpoint.
 */
public final class EndpointPool {
    private final String failureDomain;
    private final BreakerSettings settings;
    private final Ticker ticker;
    private final DoubleSupplier jitter;
    private volatile ImmutableMap<String, Endpoint> endpoints = ImmutableMap.of();
    private Set<String> leaving = Set.of();

    private EndpointPool(String failureDomain, BreakerSettings settings, Ticker ticker, UniformRandomProvider random) {
        this.failureDomain = failureDomain;
        this.settings = settings;
        this.ticker = ticker;
        this.jitter = lockedDoubles(random);
    }

    private static DoubleSupplier lockedDoubles(UniformRandomProvider random) {
        Object lock = new Object();
        return () -> {
            synchronized (lock) {
                return random.nextDouble();
            }
        };
    }

    /**
     * Returns an empty pool.
     *
     * @param failureDomain the failure domain of this instance
     * @param settings thresholds of the circuit breakers
     * @param ticker the monotonic clock
     * @param random random number generator for jitter; must not be used elsewhere
     * @return the pool
     */
    public static EndpointPool create(
            String failureDomain, BreakerSettings settings, Ticker ticker, UniformRandomProvider random) {
        return new EndpointPool(
                checkNotNull(failureDomain), checkNotNull(settings), checkNotNull(ticker), checkNotNull(random));
    }

    /**
     * Replaces the endpoints by those of new rules. Endpoints with a name that was there before keep their state.
     *
     * @param rules the rules that apply from now on
     */
    public synchronized void applyRules(RuleSet rules) {
        ImmutableMap<String, Endpoint> old = endpoints;
        ImmutableMap.Builder<String, Endpoint> replaced = ImmutableMap.builder();
        rules.endpoints().forEach((name, rule) -> replaced.put(name, update(old.get(name), rule, rules)));
        endpoints = replaced.buildOrThrow();
        applyLeaving();
    }

    private Endpoint update(Endpoint existing, EndpointRule rule, RuleSet rules) {
        Locality locality = localityOf(rule.failureDomain(), rules);
        if (existing == null) {
            return new Endpoint(rule, locality, settings, jitter, ticker.read());
        }
        existing.update(rule, locality);
        return existing;
    }

    private Locality localityOf(String other, RuleSet rules) {
        if (other.equals(failureDomain)) {
            return Locality.SAME_FAILURE_DOMAIN;
        }
        Optional<String> region = rules.regionOf(failureDomain);
        return region.isPresent() && region.equals(rules.regionOf(other)) ? Locality.SAME_REGION : Locality.ELSEWHERE;
    }

    /**
     * Sets the endpoints that are shutting down. They take no new requests; all others do so again.
     *
     * @param names names of all endpoints that the platform's live list marks as leaving
     */
    public synchronized void markLeaving(Set<String> names) {
        leaving = Set.copyOf(names);
        applyLeaving();
    }

    private void applyLeaving() {
        endpoints.forEach((name, endpoint) -> endpoint.setLeaving(leaving.contains(name)));
    }

    /**
     * Records a load report of an endpoint. Ignores reports of unknown endpoints and reports older than the latest one.
     *
     * @param name name of the endpoint
     * @param report load of the endpoint
     */
    public void recordLoad(String name, LoadReport report) {
        checkNotNull(report);
        Endpoint endpoint = endpoints.get(name);
        if (endpoint != null) {
            endpoint.report(report);
        }
    }

    /**
     * Chooses an endpoint and acquires capacity for one request on it.
     *
     * @param eligible the endpoints that may serve the request
     * @param criteria properties of the request that affect the choice
     * @param picker the load-balancing strategy
     * @param random random number generator of the calling thread
     * @return the lease, or empty if no endpoint has capacity or the picker chose none
     */
    public Optional<EndpointLease> tryAcquire(
            Collection<EndpointRule> eligible,
            EndpointCriteria criteria,
            EndpointPicker picker,
            UniformRandomProvider random) {
        List<Candidate> candidates = new ArrayList<>(candidates(eligible, criteria));
        while (!candidates.isEmpty()) {
            Optional<Candidate> picked = picker.pick(candidates, criteria, random);
            if (picked.isEmpty()) {
                return Optional.empty();
            }
            Endpoint endpoint = endpoints.get(picked.get().rule().name());
            if (endpoint != null && endpoint.tryAcquire(ticker.read())) {
                return Optional.of(new EndpointLease(endpoint, picked.get(), ticker));
            }
            candidates.remove(picked.get());
        }
        return Optional.empty();
    }

    /**
     * Returns the endpoints that have capacity left by this instance's own count.
     *
     * @param eligible the endpoints that may serve the request
     * @param criteria properties of the request that affect the choice
     * @return the candidates, in the order of {@code eligible}
     */
    public ImmutableList<Candidate> candidates(Collection<EndpointRule> eligible, EndpointCriteria criteria) {
        long nowNanos = ticker.read();
        ImmutableMap<String, Endpoint> current = endpoints;
        return eligible.stream()
                .map(EndpointRule::name)
                .filter(name -> current.containsKey(name)
                        && !criteria.excludedEndpoints().contains(name))
                .flatMap(name -> current.get(name).candidate(nowNanos).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the total load of some endpoints.
     *
     * @param eligible the endpoints; unknown ones are ignored
     * @return the sums over the endpoints; the service time is the mean over those with a known one
     */
    public PoolLoad load(Collection<EndpointRule> eligible) {
        long nowNanos = ticker.read();
        ImmutableMap<String, Endpoint> current = endpoints;
        List<PoolLoad> loads = eligible.stream()
                .filter(rule -> current.containsKey(rule.name()))
                .map(rule -> current.get(rule.name()).poolLoad(nowNanos))
                .toList();
        return new PoolLoad(
                loads.stream().mapToInt(PoolLoad::inFlight).sum(),
                loads.stream().mapToDouble(PoolLoad::load).sum(),
                loads.stream().mapToInt(PoolLoad::capacity).sum(),
                loads.stream()
                        .mapToDouble(PoolLoad::serviceMillis)
                        .filter(serviceMillis -> serviceMillis > 0)
                        .average()
                        .orElse(0),
                loads.stream()
                        .map(PoolLoad::pauseMillis)
                        .flatMapToLong(OptionalLong::stream)
                        .min());
    }

    /**
     * Returns the status of all endpoints.
     *
     * @return one status for each endpoint, ordered by name
     */
    public ImmutableList<EndpointStatus> statuses() {
        long nowNanos = ticker.read();
        return endpoints.values().stream()
                .map(endpoint -> endpoint.status(nowNanos))
                .collect(ImmutableList.toImmutableList());
    }
}
