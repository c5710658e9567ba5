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
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The endpoints of the rules in force with this instance's own requests on them, their load and their health.
 *
 * <p>Thread-safe. Choosing takes no lock on the pool; each endpoint has a lock of its own that is held for a few steps.
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
     * Returns a new pool without endpoints.
     *
     * @param failureDomain the failure domain of this instance
     * @param settings when endpoints are ejected
     * @param ticker the monotonic clock
     * @param random source of jitter, used by this pool alone
     * @return the pool
     */
    public static EndpointPool create(
            String failureDomain, BreakerSettings settings, Ticker ticker, UniformRandomProvider random) {
        return new EndpointPool(
                checkNotNull(failureDomain), checkNotNull(settings), checkNotNull(ticker), checkNotNull(random));
    }

    /**
     * Takes over the endpoints of new rules; those that stay keep their state.
     *
     * @param rules the rules in force
     */
    public synchronized void applyRules(RuleSet rules) {
        ImmutableMap<String, Endpoint> old = endpoints;
        ImmutableMap.Builder<String, Endpoint> replaced = ImmutableMap.builder();
        rules.endpoints().forEach((name, rule) -> replaced.put(name, update(old.get(name), rule, rules)));
        endpoints = replaced.buildOrThrow();
        applyLeaving();
    }

    private Endpoint update(Endpoint known, EndpointRule rule, RuleSet rules) {
        Locality locality = localityOf(rule.failureDomain(), rules);
        if (known == null) {
            return new Endpoint(rule, locality, settings, jitter, ticker.read());
        }
        known.update(rule, locality);
        return known;
    }

    private Locality localityOf(String other, RuleSet rules) {
        if (other.equals(failureDomain)) {
            return Locality.SAME_FAILURE_DOMAIN;
        }
        Optional<String> region = rules.regionOf(failureDomain);
        return region.isPresent() && region.equals(rules.regionOf(other)) ? Locality.SAME_REGION : Locality.ELSEWHERE;
    }

    /**
     * Stops new work on the endpoints that are leaving, and allows it again on those that no longer are.
     *
     * @param names all endpoints that are leaving, by the platform's live list
     */
    public synchronized void markLeaving(Set<String> names) {
        leaving = Set.copyOf(names);
        applyLeaving();
    }

    private void applyLeaving() {
        endpoints.forEach((name, endpoint) -> endpoint.setLeaving(leaving.contains(name)));
    }

    /**
     * Takes an endpoint's load report. A report that is older than the latest one, or of an unknown endpoint, is
     * ignored.
     *
     * @param name the endpoint's name
     * @param report its load
     */
    public void recordLoad(String name, LoadReport report) {
        checkNotNull(report);
        Endpoint endpoint = endpoints.get(name);
        if (endpoint != null) {
            endpoint.report(report);
        }
    }

    /**
     * Chooses an endpoint and takes room on it.
     *
     * @param eligible the endpoints that may serve the request
     * @param facts the request
     * @param picker makes the choice
     * @param random source of randomness of the calling thread
     * @return the lease, or empty if the picker chose none
     */
    public Optional<EndpointLease> tryAcquire(
            Collection<EndpointRule> eligible,
            EndpointCriteria facts,
            EndpointPicker picker,
            UniformRandomProvider random) {
        List<Candidate> candidates = new ArrayList<>(candidates(eligible, facts));
        while (!candidates.isEmpty()) {
            Optional<Candidate> picked = picker.pick(candidates, facts, random);
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
     * Returns the endpoints that have room by this instance's own count.
     *
     * @param eligible the endpoints that may serve the request
     * @param facts the request
     * @return the candidates, in the order given
     */
    public ImmutableList<Candidate> candidates(Collection<EndpointRule> eligible, EndpointCriteria facts) {
        long nowNanos = ticker.read();
        ImmutableMap<String, Endpoint> current = endpoints;
        return eligible.stream()
                .map(EndpointRule::name)
                .filter(name ->
                        current.containsKey(name) && !facts.excludedEndpoints().contains(name))
                .flatMap(name -> current.get(name).candidate(nowNanos).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the load of some endpoints together.
     *
     * @param eligible the endpoints
     * @return their sums; the service time is the mean of those that have one
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
                        .orElse(0));
    }

    /**
     * Returns the state of all endpoints.
     *
     * @return one status an endpoint, in the order of their names
     */
    public ImmutableList<EndpointStatus> statuses() {
        long nowNanos = ticker.read();
        return endpoints.values().stream()
                .map(endpoint -> endpoint.status(nowNanos))
                .collect(ImmutableList.toImmutableList());
    }
}
