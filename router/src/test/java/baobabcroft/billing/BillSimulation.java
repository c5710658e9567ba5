package baobabcroft.billing;

import baobabcroft.fake.FakeCluster;
import baobabcroft.fake.FakeCluster.Instance;
import baobabcroft.fake.FaultInjection;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Simulates several instances that write bills to one fake store and hold bills for each other, and checks that no bill
 * is lost, duplicated or invented.
 */
final class BillSimulation {
    static final int INSTANCES = 3;

    private static final int PEER_LATENCY_MILLIS = 1;
    private static final BillingSettings SETTINGS = new BillingSettings(5, 300, 100, 1_000, 10, 1_000, 1_000, 2_000);

    private final Mutant mutant;
    private final FakeCluster<BillService> cluster;
    private final Map<String, Set<String>> holdersByRequest = new HashMap<>();
    private final Set<String> completedRequests = new HashSet<>();
    private int requestCount;

    /** Faults injected into the instances' protocol, each of which the checks must detect. */
    enum Mutant {
        NONE,
        HOLDER_FORGETS,
        HOLDER_RENAMES
    }

    /** A request that completes at the instance with the given index, or a fault if {@code disturbance} is present. */
    record Step(int place, Optional<FaultInjection> disturbance) {}

    BillSimulation(Mutant mutant) {
        this.mutant = mutant;
        this.cluster = new FakeCluster<>(INSTANCES, this::start);
    }

    private BillService start(FakeCluster<BillService> all, Instance<BillService> instance) {
        BillingContext context = new BillingContext(
                instance.client(),
                instance.process().scheduler(),
                Runnable::run,
                all.time().ticker(),
                () -> 0.5,
                new MetricRegistry());
        return BillService.create(instance.name(), context, SETTINGS, new Peers(instance));
    }

    /** Sends hold requests to the first other running instance, and releases to all instances. */
    private final class Peers implements BillHolder {
        private final Instance<BillService> from;

        private Peers(Instance<BillService> from) {
            this.from = from;
        }

        @Override
        public CompletionStage<Boolean> hold(List<Bill> bills) {
            CompletableFuture<Boolean> held = new CompletableFuture<>();
            Optional<Instance<BillService>> peer = cluster.instances().stream()
                    .filter(instance -> !instance.name().equals(from.name())
                            && instance.process().isRunning())
                    .findFirst();
            if (peer.isEmpty()) {
                return CompletableFuture.completedFuture(false);
            }
            afterPeerLatency(() -> peer.get().process().run(() -> {
                boolean taken = holdOnPeer(peer.get(), bills);
                afterPeerLatency(() -> from.process().run(() -> held.complete(taken)));
            }));
            return held;
        }

        @Override
        public void release(List<Bill.Id> ids) {
            afterPeerLatency(() -> cluster.instances().forEach(instance -> instance.process()
                    .run(() -> instance.service().releaseForPeer(ids))));
        }
    }

    private void afterPeerLatency(Runnable task) {
        cluster.time().scheduler().schedule(PEER_LATENCY_MILLIS, task);
    }

    private boolean holdOnPeer(Instance<BillService> holder, List<Bill> bills) {
        bills.forEach(bill -> holdersByRequest.get(bill.requestId()).add(holder.name()));
        return switch (mutant) {
            case NONE -> holder.service().holdForPeer(bills);
            case HOLDER_FORGETS -> true;
            case HOLDER_RENAMES ->
                holder.service()
                        .holdForPeer(bills.stream()
                                .map(bill -> bill(bill.requestId() + "'"))
                                .toList());
        };
    }

    private static Bill bill(String requestId) {
        return new Bill("optika", requestId, Bill.Kind.GENERATION, "film@1", 10, 7, Bill.Outcome.ANSWERED, 1);
    }

    /** Runs a schedule and returns a description of the violations, empty if there are none. */
    String run(List<Step> steps) {
        for (Step step : steps) {
            step.disturbance().ifPresent(cluster::inject);
            if (step.disturbance().isEmpty()) {
                Instance<BillService> at = cluster.instance(step.place());
                at.process().run(() -> endRequest(at));
            }
        }
        cluster.heal();
        return violations(readBilledRequests());
    }

    private void endRequest(Instance<BillService> at) {
        String requestId = "r" + requestCount++;
        holdersByRequest.put(requestId, new HashSet<>(Set.of(at.name())));
        at.service().record(bill(requestId)).thenAccept(result -> {
            if (result instanceof BillResult.Durable) {
                holdersByRequest.get(requestId).add("store");
            }
            if (!(result instanceof BillResult.Refused)) {
                completedRequests.add(requestId);
            }
        });
    }

    private List<String> readBilledRequests() {
        BillReader reader = BillReader.create(
                cluster.store().connect(), () -> CompletableFuture.completedFuture(Optional.of(ImmutableList.of())));
        CompletableFuture<Optional<BillReport>> report = reader.read().toCompletableFuture();
        cluster.time().advance(1_000);
        return report.getNow(Optional.empty()).orElseThrow().bills().stream()
                .map(Bill::requestId)
                .toList();
    }

    private String violations(List<String> billed) {
        List<String> violations = new ArrayList<>();
        for (String requestId : completedRequests) {
            boolean held = holdersByRequest.get(requestId).stream().anyMatch(holder -> !cluster.isKilled(holder));
            if (held && !billed.contains(requestId)) {
                violations.add("lost " + requestId);
            }
        }
        if (Set.copyOf(billed).size() < billed.size()) {
            violations.add("duplicates in " + billed);
        }
        billed.stream()
                .filter(requestId -> !holdersByRequest.containsKey(requestId))
                .forEach(requestId -> violations.add("invented " + requestId));
        return String.join(", ", violations);
    }
}
