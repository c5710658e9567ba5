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

/** Several instances that bill over one store and hold bills for each other, watched by an oracle. */
final class BillWorld {
    static final int INSTANCES = 3;

    private static final int HOP_MILLIS = 1;
    private static final BillingSettings SETTINGS = new BillingSettings(5, 300, 100, 1_000, 10, 1_000, 1_000, 2_000);

    private final Mutant mutant;
    private final FakeCluster<BillService> machines;
    private final Map<String, Set<String>> keepers = new HashMap<>();
    private final Set<String> released = new HashSet<>();
    private int requests;

    /** Faults of the instances' own that the oracle must notice. */
    enum Mutant {
        NONE,
        HOLDER_FORGETS,
        HOLDER_RENAMES
    }

    /** A request that ends at an instance, or a disturbance. */
    record Step(int place, Optional<FaultInjection> disturbance) {}

    BillWorld(Mutant mutant) {
        this.mutant = mutant;
        this.machines = new FakeCluster<>(INSTANCES, this::start);
    }

    private BillService start(FakeCluster<BillService> all, Instance<BillService> machine) {
        BillingContext context = new BillingContext(
                machine.client(),
                machine.process().scheduler(),
                Runnable::run,
                all.time().ticker(),
                () -> 0.5,
                new MetricRegistry());
        return BillService.create(machine.name(), context, SETTINGS, new Peers(machine));
    }

    /** Reaches the first other instance that runs. */
    private final class Peers implements BillHolder {
        private final Instance<BillService> from;

        private Peers(Instance<BillService> from) {
            this.from = from;
        }

        @Override
        public CompletionStage<Boolean> hold(List<Bill> bills) {
            CompletableFuture<Boolean> held = new CompletableFuture<>();
            Optional<Instance<BillService>> peer = machines.instances().stream()
                    .filter(machine -> !machine.name().equals(from.name())
                            && machine.process().isRunning())
                    .findFirst();
            if (peer.isEmpty()) {
                return CompletableFuture.completedFuture(false);
            }
            after(() -> peer.get().process().run(() -> {
                boolean taken = take(peer.get(), bills);
                after(() -> from.process().run(() -> held.complete(taken)));
            }));
            return held;
        }

        @Override
        public void release(List<Bill.Id> ids) {
            after(() -> machines.instances().forEach(machine -> machine.process()
                    .run(() -> machine.service().releaseForPeer(ids))));
        }
    }

    private void after(Runnable task) {
        machines.time().scheduler().schedule(HOP_MILLIS, task);
    }

    private boolean take(Instance<BillService> holder, List<Bill> bills) {
        bills.forEach(bill -> keepers.get(bill.requestId()).add(holder.name()));
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

    /** Runs a schedule and returns what was wrong, or nothing. */
    String run(List<Step> steps) {
        for (Step step : steps) {
            step.disturbance().ifPresent(machines::inject);
            if (step.disturbance().isEmpty()) {
                Instance<BillService> at = machines.instance(step.place());
                at.process().run(() -> endRequest(at));
            }
        }
        machines.heal();
        return verdict(read());
    }

    private void endRequest(Instance<BillService> at) {
        String requestId = "r" + requests++;
        keepers.put(requestId, new HashSet<>(Set.of(at.name())));
        at.service().record(bill(requestId)).thenAccept(result -> {
            if (result instanceof BillResult.Durable) {
                keepers.get(requestId).add("store");
            }
            if (!(result instanceof BillResult.Refused)) {
                released.add(requestId);
            }
        });
    }

    private List<String> read() {
        BillReader reader = BillReader.create(
                machines.store().connect(), () -> CompletableFuture.completedFuture(Optional.of(ImmutableList.of())));
        CompletableFuture<Optional<BillReport>> report = reader.read().toCompletableFuture();
        machines.time().advance(1_000);
        return report.getNow(Optional.empty()).orElseThrow().bills().stream()
                .map(Bill::requestId)
                .toList();
    }

    private String verdict(List<String> billed) {
        List<String> complaints = new ArrayList<>();
        for (String requestId : released) {
            boolean kept = keepers.get(requestId).stream().anyMatch(keeper -> !machines.isKilled(keeper));
            if (kept && !billed.contains(requestId)) {
                complaints.add("lost " + requestId);
            }
        }
        if (Set.copyOf(billed).size() < billed.size()) {
            complaints.add("counted twice in " + billed);
        }
        billed.stream()
                .filter(requestId -> !keepers.containsKey(requestId))
                .forEach(requestId -> complaints.add("invented " + requestId));
        return String.join(", ", complaints);
    }
}
