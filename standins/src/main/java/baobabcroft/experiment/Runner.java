package baobabcroft.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** Runs a scenario in virtual time, with the same workload for each policy. */
final class Runner {
    private static final int POISON_REQUESTS = 20;
    private static final double POISON_PERIOD_MILLIS = 5_000;
    private static final double EXPECTED_QUALITY_STEP = 0.05;

    private final Scenario scenario;
    private final Deployment deployment;
    private final long seed;
    private final double capacityPerMilli;
    private final List<SimRequest> requests;

    Runner(Scenario scenario, Deployment deployment, long seed) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.seed = seed;
        this.capacityPerMilli = Fleet.capacityPerMilli(scenario, deployment);
        this.requests = Workload.generate(scenario, deployment, capacityPerMilli, seed);
    }

    List<SimRequest> requests() {
        return requests;
    }

    Result run(Policy policy) {
        EventLoop loop = new EventLoop();
        Fleet fleet = new Fleet(scenario, deployment, loop, expectedQuality());
        Recorder recorder = new Recorder(fleet, sequentialReference());
        List<Instance> instances = IntStream.range(0, deployment.instances())
                .mapToObj(index -> new Instance(index, fleet, policy, seed + 1))
                .toList();
        fleet.start(instances);
        for (SimRequest request : requestsWithPoison()) {
            double atMillis = request.arrivalMillis() + deployment.clientMillis();
            loop.scheduleAt(
                    atMillis, () -> new RequestRun(request, instances.get(request.instance()), recorder).start());
        }
        loop.runUntil(scenario.durationMillis() + deployment.defaultDeadlineMillis());
        Set<String> stopped = new TreeSet<>();
        instances.forEach(instance -> stopped.addAll(instance.stoppedVersions()));
        return recorder.result(policy, seed, capacityPerMilli, stopped);
    }

    private List<SimRequest> requestsWithPoison() {
        List<SimRequest> all = new ArrayList<>(requests);
        if (scenario.poison()) {
            for (int i = 0; i < POISON_REQUESTS; i++) {
                double atMillis = scenario.halfTimeMillis() + i * POISON_PERIOD_MILLIS;
                all.add(Workload.poison(deployment, requests.size() + i, atMillis, i));
            }
        }
        return all;
    }

    private double meanQuality() {
        return requests.stream()
                .mapToDouble(request -> request.qualities().get(0))
                .average()
                .orElse(0);
    }

    /** Returns the expected quality for the rules, rounded because operators know the true quality only roughly. */
    private double expectedQuality() {
        return Math.round(meanQuality() / EXPECTED_QUALITY_STEP) * EXPECTED_QUALITY_STEP;
    }

    private SequentialReference sequentialReference() {
        double mean = meanQuality();
        double variance = requests.stream()
                .mapToDouble(request -> Math.pow(request.qualities().get(0) - mean, 2))
                .average()
                .orElse(1);
        return new SequentialReference(scenario.degradation().orElse(Scenario.Degradation.ERRORS), mean, variance);
    }
}
