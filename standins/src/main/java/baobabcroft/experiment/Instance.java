package baobabcroft.experiment;

import baobabcroft.admission.AdmissionQueue;
import baobabcroft.admission.AdmissionSettings;
import baobabcroft.admission.ServiceTimeEstimate;
import baobabcroft.balance.BreakerSettings;
import baobabcroft.balance.EndpointCriteria;
import baobabcroft.balance.EndpointLease;
import baobabcroft.balance.EndpointPicker;
import baobabcroft.balance.EndpointPool;
import baobabcroft.balance.PoolLoad;
import baobabcroft.cascade.CascadePolicy;
import baobabcroft.cascade.QualityLedger;
import baobabcroft.cascade.QualityReport;
import baobabcroft.cascade.RatingBudget;
import baobabcroft.limit.AccountLimits;
import baobabcroft.limit.DemandReport;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import baobabcroft.retry.RetryBudget;
import baobabcroft.rollout.BadVersionDetector;
import baobabcroft.rollout.DetectorSettings;
import baobabcroft.rollout.EvidenceLedger;
import baobabcroft.rollout.EvidenceReport;
import baobabcroft.rollout.StoppedVersions;
import baobabcroft.rollout.VersionStop;
import baobabcroft.rules.VersionRule;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulated router instance that makes its decisions with the router's own classes and separate state. */
final class Instance {
    static final double RATINGS_PER_SECOND = 2;

    private static final int RATING_BURST = 10;
    private static final long CRASH_RETENTION_MILLIS = 600_000;
    private static final int MAX_CRASH_REQUESTS = 10_000;
    private static final double UNBOUNDED = 1e9;

    private final String name;
    private final String failureDomain;
    private final Fleet fleet;
    private final Policy policy;
    private final UniformRandomProvider random;
    private final EndpointPool pool;
    private final EndpointPicker picker;
    private final AccountLimits limits;
    private final CascadePolicy cascade;
    private final CrashLedger crashes = CrashLedger.create(CRASH_RETENTION_MILLIS, MAX_CRASH_REQUESTS);
    private final EvidenceLedger evidence;
    private final BadVersionDetector detector;
    private final StoppedVersions stops = StoppedVersions.create();
    private final QualityLedger quality;
    private final RatingBudget ratings;
    private final RetryBudget retries;
    private final Map<String, AdmissionQueue> queues = new HashMap<>();
    private final Map<String, ServiceTimeEstimate> serviceEstimates = new HashMap<>();

    /** State that an instance sends to all instances by gossip. */
    record GossipMessage(
            List<EvidenceReport> evidence,
            List<QualityReport> quality,
            List<Crash> crashes,
            List<VersionStop> stops,
            Optional<DemandReport> demand) {}

    Instance(int index, Fleet fleet, Policy policy, long seed) {
        this.name = "instance-" + index;
        this.failureDomain = fleet.deployment().failureDomain(index);
        this.fleet = fleet;
        this.policy = policy;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000 + index);
        this.pool = EndpointPool.create(
                failureDomain, BreakerSettings.defaults(), fleet.loop().ticker(), random);
        this.pool.applyRules(fleet.rules());
        this.picker = policy.picker().map(supplier -> supplier.get()).orElseGet(fleet::oraclePicker);
        this.cascade = policy.cascade().get();
        this.limits = AccountLimits.create(name);
        this.limits.setLiveInstances(IntStream.range(0, fleet.deployment().instances())
                .mapToObj(i -> "instance-" + i)
                .collect(Collectors.toSet()));
        this.evidence = EvidenceLedger.create(name);
        this.detector = BadVersionDetector.create(DetectorSettings.defaults(), evidence);
        this.quality = QualityLedger.create(name);
        double ratingsPerSecond = RATINGS_PER_SECOND / fleet.deployment().instances();
        this.ratings =
                RatingBudget.create(ratingsPerSecond, RATING_BURST, fleet.loop().ticker());
        this.retries = policy.retryBudget() ? RetryBudget.create() : RetryBudget.of(UNBOUNDED, UNBOUNDED);
        fleet.rules().models().forEach(model -> queues.put(model, queue(model)));
    }

    private AdmissionQueue queue(String model) {
        return AdmissionQueue.create(
                AdmissionSettings.defaults(), () -> load(model), fleet.loop().ticker());
    }

    PoolLoad load(String model) {
        PoolLoad own = pool.load(fleet.endpoints(model));
        return policy.picker().isPresent() ? own : fleet.oracleLoad(model, own);
    }

    Optional<EndpointLease> acquire(String model, EndpointCriteria criteria) {
        return pool.tryAcquire(fleet.endpoints(model), criteria, picker, random);
    }

    GossipMessage gossipMessage() {
        List<EvidenceReport> ownEvidence = evidence.reports().stream()
                .filter(report -> report.origin().equals(name))
                .toList();
        List<QualityReport> ownQuality = quality.reports().stream()
                .filter(report -> report.origin().equals(name))
                .toList();
        long nowMillis = fleet.loop().epochMillis();
        return new GossipMessage(
                ownEvidence, ownQuality, crashes.snapshot(nowMillis), stops.stops(), limits.ownReport(nowMillis));
    }

    void receive(GossipMessage message) {
        message.evidence().forEach(evidence::merge);
        message.quality().forEach(quality::merge);
        crashes.merge(message.crashes());
        stops.merge(message.stops());
        message.demand().ifPresent(limits::addReport);
    }

    void stopDegradedVersions() {
        if (!policy.automaticStop() || fleet.scenario().newVersionSharePercent() == 0) {
            return;
        }
        for (VersionRule rule : fleet.rules().versions().values()) {
            List<VersionRule> others = fleet.rules().versionsOf(rule.id().model()).stream()
                    .filter(other -> !other.equals(rule))
                    .toList();
            detector.check(rule, others, fleet.loop().epochMillis()).ifPresent(stops::add);
        }
    }

    void drain() {
        queues.values().forEach(AdmissionQueue::dispatchWaiting);
    }

    AdmissionQueue queue(RequestRun run) {
        return queues.get(run.model());
    }

    ServiceTimeEstimate serviceEstimate(String model) {
        return serviceEstimates.computeIfAbsent(model, key -> ServiceTimeEstimate.create());
    }

    String name() {
        return name;
    }

    String failureDomain() {
        return failureDomain;
    }

    Fleet fleet() {
        return fleet;
    }

    Policy policy() {
        return policy;
    }

    UniformRandomProvider random() {
        return random;
    }

    CascadePolicy cascade() {
        return cascade;
    }

    EndpointPool pool() {
        return pool;
    }

    AccountLimits limits() {
        return limits;
    }

    CrashLedger crashes() {
        return crashes;
    }

    EvidenceLedger evidence() {
        return evidence;
    }

    StoppedVersions stops() {
        return stops;
    }

    QualityLedger quality() {
        return quality;
    }

    RatingBudget ratings() {
        return ratings;
    }

    RetryBudget retries() {
        return retries;
    }

    Set<String> stoppedVersions() {
        return stops.stops().stream()
                .map(stop -> stop.version() + " " + stop.cause())
                .collect(Collectors.toSet());
    }
}
