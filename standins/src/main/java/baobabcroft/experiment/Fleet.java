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

/** All engines and instances of one run, with the network between them. */
final class Fleet {
    static final List<String> MODELS = List.of("film-small", "film-medium", "film-large");

    private static final long[] PRICE_MICROS = {100, 300, 1_000};
    private static final double[] EXPECTED_QUALITY = {0.65, 0.75, 0.87};
    private static final EngineModel[] ENGINES = {
        new EngineModel(15, 0.5, 16, 100, 40),
        new EngineModel(18, 0.6, 16, 100, 40),
        new EngineModel(22, 0.7, 16, 100, 40)
    };
    private static final double GOSSIP_MILLIS = 500;
    private static final double REPORT_MILLIS = 500;
    private static final double REPORT_LAG_MILLIS = 300;
    private static final double DRAIN_MILLIS = 50;
    private static final double DOWN_MILLIS = 60_000;
    private static final double POISON_DOWN_MILLIS = 20_000;
    private static final long MANY = 1_000_000_000L;

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
            return deployment.workers() * ENGINES[0].fullRate() / steps;
        }
        return workers(deployment, 2) * ENGINES[2].fullRate() / steps;
    }

    private static int workers(Deployment deployment, int model) {
        int each = deployment.workers() / MODELS.size();
        return model < 2 ? each : deployment.workers() - 2 * each;
    }

    private RuleSet rules(double expectedQuality) {
        RuleSet.Builder builder = RuleSet.builder();
        deployment.failureDomains().forEach(domain -> builder.add(new FailureDomainRule(domain, regionOf(domain))));
        long perSecond = (long) Math.ceil(capacityPerMilli(scenario, deployment) * 1_000 * scenario.limitFactor());
        for (int i = 0; i < Workload.ACCOUNTS; i++) {
            builder.add(new AccountRule("account-" + i, "key" + i, Set.copyOf(MODELS), 0, perSecond, MANY, 100_000));
        }
        int models = scenario.isCascade() ? MODELS.size() : 1;
        int index = 0;
        for (int model = 0; model < models; model++) {
            Set<VersionId> versions = addVersions(builder, model, expectedQuality);
            int count = scenario.isCascade() ? workers(deployment, model) : deployment.workers();
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
        loop.every(REPORT_MILLIS, endMillis, this::report);
        loop.every(GOSSIP_MILLIS, endMillis, this::gossip);
        loop.every(DRAIN_MILLIS, endMillis + deployment.patientDeadlineMillis(), () -> {
            instances.forEach(Instance::drain);
        });
        if (scenario.loss() != Scenario.Loss.NONE) {
            loop.at(scenario.halfTimeMillis(), this::lose);
        }
    }

    private void lose() {
        String domain = deployment.failureDomain(0);
        engines.values().stream()
                .filter(engine -> engine.failureDomain().equals(domain))
                .limit(scenario.loss() == Scenario.Loss.ENDPOINT ? 1 : Long.MAX_VALUE)
                .toList()
                .forEach(engine -> engine.crash(DOWN_MILLIS));
    }

    void crashByPoison(Engine engine) {
        if (engine.isAlive()) {
            engine.crash(POISON_DOWN_MILLIS);
        }
    }

    private void report() {
        long takenAtNanos = loop.ticker().read();
        for (Engine engine : engines.values()) {
            if (engine.isAlive()) {
                LoadReport report = new LoadReport(engine.runningCount(), engine.queuedCount(), takenAtNanos);
                loop.after(
                        REPORT_LAG_MILLIS,
                        () -> instances.forEach(each -> each.pool().recordLoad(engine.name(), report)));
            }
        }
    }

    private void gossip() {
        instances.forEach(from -> {
            Instance.News news = from.news();
            loop.after(deployment.regionMillis(), () -> instances.forEach(to -> to.hear(news)));
        });
        instances.forEach(Instance::checkVersions);
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

    void sent(String engine) {
        outstanding.merge(engine, 1, Integer::sum);
    }

    void ended(String engine) {
        outstanding.merge(engine, -1, Integer::sum);
    }

    private int trueLoad(String engine) {
        return outstanding.getOrDefault(engine, 0);
    }

    /** Returns the picker that knows every queue: the nearest engine with room, then the emptiest. */
    EndpointPicker oraclePicker() {
        return (candidates, facts, random) -> candidates.stream()
                .filter(candidate -> engines.get(candidate.rule().name()).isAlive())
                .filter(candidate ->
                        trueLoad(candidate.rule().name()) < candidate.rule().maxConcurrent())
                .min(Comparator.comparing(Candidate::locality)
                        .thenComparingInt(candidate -> trueLoad(candidate.rule().name())));
    }

    /** Returns the true load of a model's engines beside an instance's own requests. */
    PoolLoad oracleLoad(String model, PoolLoad own) {
        List<EndpointRule> alive = endpoints(model).stream()
                .filter(rule -> engines.get(rule.name()).isAlive())
                .toList();
        int load = alive.stream().mapToInt(rule -> trueLoad(rule.name())).sum();
        int capacity = alive.stream().mapToInt(EndpointRule::maxConcurrent).sum();
        return new PoolLoad(own.inFlight(), load, capacity, own.serviceMillis());
    }
}
