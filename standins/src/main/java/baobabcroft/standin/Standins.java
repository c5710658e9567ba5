package baobabcroft.standin;

import baobabcroft.external.LiveEntry;
import baobabcroft.rules.EndpointRule;
import baobabcroft.rules.RuleSet;
import baobabcroft.standin.engine.EngineSettings;
import baobabcroft.standin.engine.EngineStandin;
import baobabcroft.standin.kv.KeyValueStandin;
import baobabcroft.standin.live.LiveListStandin;
import baobabcroft.standin.rating.RatingStandin;
import baobabcroft.standin.service.ServiceStandin;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * Stand-ins for all systems that the router depends on, in one process: the key-value service, the live list, the
 * rating service and the endpoints of a rule set. Thread-safe.
 */
public final class Standins implements AutoCloseable {
    private final KeyValueStandin keyValue;
    private final LiveListStandin liveList;
    private final RatingStandin rating;
    private final ImmutableMap<String, EngineStandin> engines;
    private final ImmutableMap<String, ServiceStandin> services;

    private Standins(Ports ports, RuleSet rules, long seed) {
        this.keyValue = KeyValueStandin.start(ports.keyValue());
        this.liveList = LiveListStandin.start(ports.liveList());
        this.rating = RatingStandin.start(ports.rating());
        ImmutableMap.Builder<String, EngineStandin> startedEngines = ImmutableMap.builder();
        ImmutableMap.Builder<String, ServiceStandin> startedServices = ImmutableMap.builder();
        for (EndpointRule endpoint : rules.endpoints().values()) {
            if (endpoint.service().isPresent()) {
                startedServices.put(endpoint.name(), startService(endpoint, seed));
            } else {
                startedEngines.put(endpoint.name(), startEngine(endpoint, rules, seed));
            }
            liveList.put(entryOf(endpoint));
        }
        this.engines = startedEngines.buildOrThrow();
        this.services = startedServices.buildOrThrow();
    }

    /**
     * TCP ports of the platform's services; 0 binds an ephemeral port.
     *
     * @param keyValue port of the key-value service
     * @param liveList port of the live list
     * @param rating port of the rating service
     */
    public record Ports(int keyValue, int liveList, int rating) {
        /** Ephemeral ports for all services. */
        public static final Ports ANY = new Ports(0, 0, 0);
    }

    /**
     * Starts the platform's services, and an engine or service at the port of each endpoint in the rules.
     *
     * @param ports ports of the platform's services
     * @param rules the rules; each version answers with its expected quality
     * @param seed seed of all random choices
     * @return the running stand-ins
     */
    public static Standins start(Ports ports, RuleSet rules, long seed) {
        return new Standins(ports, rules, seed);
    }

    private static ServiceStandin startService(EndpointRule endpoint, long seed) {
        ServiceStandin service = ServiceStandin.start(endpoint.address().getPort(), seed);
        service.setChecksFencing(endpoint.checksFencing());
        return service;
    }

    private static EngineStandin startEngine(EndpointRule endpoint, RuleSet rules, long seed) {
        Set<String> versions =
                endpoint.versions().stream().map(Object::toString).collect(ImmutableSet.toImmutableSet());
        EngineSettings settings = EngineSettings.SMALL.withMaxBatch(endpoint.maxConcurrent());
        EngineStandin engine = EngineStandin.start(endpoint.address().getPort(), seed, settings, versions);
        endpoint.versions().forEach(id -> rules.version(id)
                .ifPresent(rule -> engine.setQuality(id.toString(), rule.expectedQuality())));
        return engine;
    }

    private static LiveEntry entryOf(EndpointRule endpoint) {
        return new LiveEntry(
                endpoint.name(),
                LiveEntry.Role.ENDPOINT,
                LiveEntry.State.LIVE,
                endpoint.failureDomain(),
                endpoint.address());
    }

    /**
     * Returns the key-value service's stand-in.
     *
     * @return the stand-in
     */
    public KeyValueStandin keyValue() {
        return keyValue;
    }

    /**
     * Returns the live list's stand-in.
     *
     * @return the stand-in
     */
    public LiveListStandin liveList() {
        return liveList;
    }

    /**
     * Returns the rating service's stand-in.
     *
     * @return the stand-in
     */
    public RatingStandin rating() {
        return rating;
    }

    /**
     * Returns the model engines' stand-ins.
     *
     * @return the stand-ins by endpoint name
     */
    public ImmutableMap<String, EngineStandin> engines() {
        return engines;
    }

    /**
     * Returns the plain services' stand-ins.
     *
     * @return the stand-ins by endpoint name
     */
    public ImmutableMap<String, ServiceStandin> services() {
        return services;
    }

    @Override
    public void close() {
        keyValue.close();
        liveList.close();
        rating.close();
        engines.values().forEach(EngineStandin::close);
        services.values().forEach(ServiceStandin::close);
    }
}
