package baobabcroft.experiment;

import baobabcroft.balance.Candidate;
import baobabcroft.balance.EndpointPicker;
import baobabcroft.balance.LoadReport;
import baobabcroft.balance.PoolLoad;
import baobabcroft.rules.AccountRule;
import baobabcroft.rules.EndpointRule;
import baobabcroft.rules.FailureDomainRule;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The engines, instances and network of one simulation run. */
final class Fleet {
    static final List<String> MODELS = List.of("film-small", "film-medium", "film-large");

    private static final long[] PRICE_MICROS = {100, 300, 1_000};
    private static final double[] EXPECTED_QUALITY = {0.65, 0.75, 0.87};
    private static final EngineModel[] ENGINES = {
        new EngineModel(15, 0.5, 16, 100, 40),
        new EngineModel(18, 0.6, 16, 100, 40),
        new EngineModel(22, 0.7, 16, 100, 40)
    };
    private static final double GOSSIP_PERIOD_MILLIS = 500;
    private static final double LOAD_REPORT_PERIOD_MILLIS = 500;
    private static final double LOAD_REPORT_DELAY_MILLIS = 300;
    private static final double QUEUE_DRAIN_PERIOD_MILLIS = 50;
    private static final double OUTAGE_MILLIS = 60_000;
    private static final double POISON_OUTAGE_MILLIS = 20_000;
    private static final long UNLIMITED_TOKENS_PER_MINUTE = 1_000_000_000L;

    private final Scenario scenario;
    private final Deployment deployment;
    private final EventLoop loop;
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final Map<String, Integer> outstanding = new HashMap<>();
    private final Map<String, List<EndpointRule>> endpointsByModel = new HashMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final RuleSet rules;

    Fleet(Scenario scenario, Deployment deployment, EventLoop loop, double expectedQuality) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.loop = loop;
        this.rules = rules(expectedQuality);
    }

    static double capacityPerMilli(Scenario scenario, Deployment deployment) {
        double steps = Workload.MEAN_OUTPUT_TOKENS + Workload.MEAN_PREFILL_STEPS;
        if (!scenario.isCascade()) {
            return deployment.endpoints() * ENGINES[0].fullRate() / steps;
        }
        return endpointCount(deployment, 2) * ENGINES[2].fullRate() / steps;
    }

    private static int endpointCount(Deployment deployment, int model) {
        int each = deployment.endpoints() / MODELS.size();
        return model < 2 ? each : deployment.endpoints() - 2 * each;
    }

    private RuleSet rules(double expectedQuality) {
        RuleSet.Builder builder = RuleSet.builder();
        deployment.failureDomains().forEach(domain -> builder.add(new FailureDomainRule(domain, regionOf(domain))));
        long perSecond = (long) Math.ceil(capacityPerMilli(scenario, deployment) * 1_000 * scenario.limitFactor());
        for (int i = 0; i < Workload.ACCOUNTS; i++) {
            builder.add(new AccountRule(
                    "account-" + i, "key" + i, Set.copyOf(MODELS), 0, perSecond, UNLIMITED_TOKENS_PER_MINUTE, 100_000));
        }
        int models = scenario.isCascade() ? MODELS.size() : 1;
        int index = 0;
        for (int model = 0; model < models; model++) {
            Set<VersionId> versions = addVersions(builder, model, expectedQuality);
            int count = scenario.isCascade() ? endpointCount(deployment, model) : deployment.endpoints();
            List<EndpointRule> endpoints = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                endpoints.add(addEngine(index++, model, versions));
            }
            endpoints.forEach(builder::add);
            endpointsByModel.put(MODELS.get(model), endpoints);
        }
        return builder.build();
    }

    private Set<VersionId> addVersions(RuleSet.Builder builder, int model, double expectedQuality) {
        int newShare = scenario.newVersionSharePercent();
        VersionId old = new VersionId(MODELS.get(model), "1");
        VersionId latest = new VersionId(MODELS.get(model), "2");
        double quality = scenario.isCascade() ? EXPECTED_QUALITY[model] : expectedQuality;
        builder.add(new VersionRule(old, VersionState.OPEN, 100 - newShare, PRICE_MICROS[model], quality, false));
        if (newShare == 0) {
            return Set.of(old);
        }
        builder.add(new VersionRule(latest, VersionState.OPEN, newShare, PRICE_MICROS[model], quality, false));
        return Set.of(old, latest);
    }

    private EndpointRule addEngine(int index, int model, Set<VersionId> versions) {
        String name = "worker-" + index;
        String domain = deployment.failureDomain(index);
        engines.put(name, new Engine(name, domain, ENGINES[model], loop));
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", 1 + index);
        return new EndpointRule(name, address, domain, versions, Optional.empty(), ENGINES[model].maxBatch(), false);
    }

    private static String regionOf(String domain) {
        return domain.substring(0, domain.lastIndexOf('-'));
    }

    void start(List<Instance> started) {
        instances.addAll(started);
        double endMillis = scenario.durationMillis();
        loop.scheduleEvery(LOAD_REPORT_PERIOD_MILLIS, endMillis, this::sendLoadReports);
        loop.scheduleEvery(GOSSIP_PERIOD_MILLIS, endMillis, this::exchangeGossip);
        loop.scheduleEvery(QUEUE_DRAIN_PERIOD_MILLIS, endMillis + deployment.defaultDeadlineMillis(), () -> {
            instances.forEach(Instance::drain);
        });
        if (scenario.outage() != Scenario.Outage.NONE) {
            loop.scheduleAt(scenario.halfTimeMillis(), this::startOutage);
        }
    }

    private void startOutage() {
        String domain = deployment.failureDomain(0);
        engines.values().stream()
                .filter(engine -> engine.failureDomain().equals(domain))
                .limit(scenario.outage() == Scenario.Outage.ENDPOINT ? 1 : Long.MAX_VALUE)
                .toList()
                .forEach(engine -> engine.crash(OUTAGE_MILLIS));
    }

    void crashByPoison(Engine engine) {
        if (engine.isAlive()) {
            engine.crash(POISON_OUTAGE_MILLIS);
        }
    }

    private void sendLoadReports() {
        long takenAtNanos = loop.ticker().read();
        for (Engine engine : engines.values()) {
            if (engine.isAlive()) {
                LoadReport report = new LoadReport(engine.runningCount(), engine.queuedCount(), takenAtNanos);
                loop.scheduleAfter(
                        LOAD_REPORT_DELAY_MILLIS,
                        () -> instances.forEach(each -> each.pool().recordLoad(engine.name(), report)));
            }
        }
    }

    private void exchangeGossip() {
        instances.forEach(from -> {
            Instance.GossipMessage message = from.gossipMessage();
            loop.scheduleAfter(deployment.regionMillis(), () -> instances.forEach(to -> to.receive(message)));
        });
        instances.forEach(Instance::stopDegradedVersions);
    }

    double latencyMillis(String from, String to) {
        if (from.equals(to)) {
            return deployment.domainMillis() / 2;
        }
        return regionOf(from).equals(regionOf(to)) ? deployment.domainMillis() : deployment.regionMillis();
    }

    Engine engine(String name) {
        return engines.get(name);
    }

    Collection<Engine> engines() {
        return engines.values();
    }

    RuleSet rules() {
        return rules;
    }

    List<EndpointRule> endpoints(String model) {
        return endpointsByModel.get(model);
    }

    Scenario scenario() {
        return scenario;
    }

    Deployment deployment() {
        return deployment;
    }

    EventLoop loop() {
        return loop;
    }

    void requestSent(String engine) {
        outstanding.merge(engine, 1, Integer::sum);
    }

    void requestEnded(String engine) {
        outstanding.merge(engine, -1, Integer::sum);
    }

    private int trueLoad(String engine) {
        return outstanding.getOrDefault(engine, 0);
    }

    /**
     * Returns the oracle picker, which sees the true load of every engine. Of the live engines with free capacity it
     * picks the nearest, and of equally near ones the least loaded.
     */
    EndpointPicker oraclePicker() {
        return (candidates, facts, random) -> candidates.stream()
                .filter(candidate -> engines.get(candidate.rule().name()).isAlive())
                .filter(candidate ->
                        trueLoad(candidate.rule().name()) < candidate.rule().maxConcurrent())
                .min(Comparator.comparing(Candidate::locality)
                        .thenComparingInt(candidate -> trueLoad(candidate.rule().name())));
    }

    /** Returns an instance's view of a pool with the estimated load replaced by the engines' true load. */
    PoolLoad oracleLoad(String model, PoolLoad own) {
        List<EndpointRule> alive = endpoints(model).stream()
                .filter(rule -> engines.get(rule.name()).isAlive())
                .toList();
        int load = alive.stream().mapToInt(rule -> trueLoad(rule.name())).sum();
        int capacity = alive.stream().mapToInt(EndpointRule::maxConcurrent).sum();
        return PoolLoad.withoutPauses(own.inFlight(), load, capacity, own.serviceMillis());
    }
}
