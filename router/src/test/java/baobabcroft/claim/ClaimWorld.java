package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkState;

import baobabcroft.billing.Bill;
import baobabcroft.fake.FakeProcess;
import baobabcroft.fake.FakeStore;
import baobabcroft.fake.FakeStoreClient;
import baobabcroft.fake.VirtualTime;
import baobabcroft.platform.KeyValueStore;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** Several instances, their callers and endpoints over one store, driven by a schedule and watched by an oracle. */
final class ClaimWorld {
    static final int INSTANCES = 3;
    static final int KEYS = 3;

    private static final SlotLogSettings SLOTS = new SlotLogSettings(1, 5, 1_000, 64, 300, 10, 1_000);
    private static final int RESET_AFTER_MILLIS = 40;
    private static final int LATE_MILLIS = 2_000;

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final ClaimOracle oracle = new ClaimOracle();
    private final SplittableRandom random = new SplittableRandom(11);
    private final List<Instance> instances = new ArrayList<>();
    private final Set<String> deadInstances = new HashSet<>();
    private final Map<String, Instance> answeredBy = new HashMap<>();
    private final Mutant mutant;
    private int deliveries;
    private int started;

    /** Faults of the instances' own that the oracle must notice. */
    enum Mutant {
        NONE,
        SENDS_WITHOUT_CLAIM,
        SENDS_WHAT_ANOTHER_CLAIMED,
        REFUSES_AFTER_RESET,
        RETRIES_AFTER_RESET,
        WRITES_BLINDLY,
        FORGETS_OUTCOMES
    }

    private record Instance(String name, FakeProcess process, FakeStoreClient client, ClaimService claims) {}

    private record Delivery(int id, ClaimRequest request, FuzzStep.Deliver step, Instance at) {
        String key() {
            return request.idempotencyKey();
        }

        String body() {
            return request.bodyDigest().toStringUtf8();
        }
    }

    ClaimWorld(Mutant mutant) {
        this.mutant = mutant;
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(start());
        }
    }

    private Instance start() {
        String name = "instance-" + started++;
        FakeProcess process = new FakeProcess(time);
        FakeStoreClient client = store.connect();
        client.deliverThrough(process::run);
        KeyValueStore view = mutant == Mutant.WRITES_BLINDLY ? new BlindStore(store, client) : client;
        SlotLogContext context = new SlotLogContext(
                view,
                process.scheduler(),
                Runnable::run,
                time.ticker(),
                time.wallClock(),
                random::nextLong,
                new MetricRegistry());
        ClaimService claims = ClaimService.create(
                SlotLog.create(context, SLOTS),
                name,
                ClaimSettings.defaults(),
                process.scheduler(),
                time.wallClock(),
                random::nextLong);
        return new Instance(name, process, client, claims);
    }

    void run(List<FuzzStep> steps) {
        steps.forEach(this::take);
        heal();
        verify();
    }

    private void take(FuzzStep step) {
        if (step instanceof FuzzStep.Deliver deliver) {
            Instance at = instances.get(deliver.instance());
            at.process().run(() -> deliver(at, deliver));
        } else if (step instanceof FuzzStep.Disturb disturb) {
            disturb(disturb);
        } else if (step instanceof FuzzStep.DisturbStore disturb) {
            disturb(disturb);
        } else if (step instanceof FuzzStep.Advance advance) {
            time.advance(advance.millis());
        }
    }

    private void disturb(FuzzStep.Disturb disturb) {
        Instance instance = instances.get(disturb.instance());
        switch (disturb.trouble()) {
            case FREEZE -> instance.process().freeze();
            case WAKE -> instance.process().thaw();
            case CUT_FROM_STORE -> instance.client().setCut(true);
            case RECONNECT -> instance.client().setCut(false);
            case KILL -> {
                instance.process().kill();
                deadInstances.add(instance.name());
                instances.set(disturb.instance(), start());
            }
        }
    }

    private void disturb(FuzzStep.DisturbStore disturb) {
        switch (disturb.trouble()) {
            case STOP -> store.setDown(true);
            case RESTART -> store.setDown(false);
            case SLOW -> store.setLatencyMillis(disturb.millis());
            case FAST -> store.setLatencyMillis(2);
            case LOSE_REPLIES -> store.loseReplies(disturb.count());
            case DELAY_WRITES -> store.delayWrites(disturb.count(), disturb.millis());
        }
    }

    private void deliver(Instance at, FuzzStep.Deliver step) {
        long deadlineEpochMillis = time.wallClock().millis() + step.timeoutMillis();
        ClaimRequest request = new ClaimRequest(
                "optika",
                "key" + step.key(),
                ByteString.copyFromUtf8("body" + step.body()),
                "orders/place",
                100,
                deadlineEpochMillis);
        Delivery delivery = new Delivery(deliveries++, request, step, at);
        if (mutant == Mutant.SENDS_WITHOUT_CLAIM) {
            oracle.ran(delivery.id(), delivery.key(), delivery.body());
            return;
        }
        at.claims().claim(request).thenAccept(result -> answer(delivery, result, true));
    }

    private void answer(Delivery delivery, ClaimResult result, boolean mayWait) {
        if (result instanceof ClaimResult.Granted granted) {
            int delayMillis = delivery.step().sendDelayMillis();
            delivery.at().process().scheduler().schedule(delayMillis, () -> send(delivery, granted.ticket()));
        } else if (result instanceof ClaimResult.Recorded recorded) {
            oracle.toldAnswer(
                    delivery.key(), delivery.body(), recorded.answer().body().toStringUtf8());
        } else if (result instanceof ClaimResult.KeyReused || result instanceof ClaimResult.Unavailable) {
            oracle.toldNotRun(delivery.id());
        } else if (result instanceof ClaimResult.Running && mutant == Mutant.SENDS_WHAT_ANOTHER_CLAIMED) {
            oracle.ran(delivery.id(), delivery.key(), delivery.body());
        } else if (result instanceof ClaimResult.Running && mayWait) {
            delivery.at()
                    .claims()
                    .awaitOutcome(delivery.request(), deadInstances::contains)
                    .thenAccept(outcome -> answer(delivery, outcome, false));
        }
    }

    private void send(Delivery delivery, ClaimTicket ticket) {
        if (!ticket.startSend(time.wallClock().millis())) {
            withdraw(delivery, ticket);
            return;
        }
        FuzzStep.Endpoint endpoint = delivery.step().endpoint();
        switch (endpoint) {
            case REFUSES_CONNECTION -> {
                checkState(ticket.cancelSend());
                withdraw(delivery, ticket);
            }
            case LOSES_REQUEST -> reset(delivery, ticket);
            case DIES_AFTER_RUNNING -> {
                oracle.ran(delivery.id(), delivery.key(), delivery.body());
                reset(delivery, ticket);
            }
            case ANSWERS -> run(delivery, ticket, RESET_AFTER_MILLIS, 200);
            case ANSWERS_WITH_ERROR -> run(delivery, ticket, RESET_AFTER_MILLIS, 409);
            case ANSWERS_LATE -> {
                reset(delivery, ticket);
                run(delivery, ticket, LATE_MILLIS, 200);
            }
        }
    }

    private void withdraw(Delivery delivery, ClaimTicket ticket) {
        settle(delivery, ticket, new Outcome.NotRun());
        oracle.toldNotRun(delivery.id());
    }

    private static void settle(Delivery delivery, ClaimTicket ticket, Outcome outcome) {
        delivery.at().claims().settle(ticket, outcome).thenAccept(result -> {});
    }

    private void reset(Delivery delivery, ClaimTicket ticket) {
        delivery.at().process().scheduler().schedule(RESET_AFTER_MILLIS, () -> {
            if (mutant == Mutant.RETRIES_AFTER_RESET) {
                oracle.ran(delivery.id(), delivery.key(), delivery.body());
            } else if (mutant == Mutant.REFUSES_AFTER_RESET) {
                withdraw(delivery, ticket);
            } else {
                settle(delivery, ticket, new Outcome.Unknown());
            }
        });
    }

    private void run(Delivery delivery, ClaimTicket ticket, int delayMillis, int status) {
        time.scheduler().schedule(delayMillis / 2, () -> {
            String answer = oracle.ran(delivery.id(), delivery.key(), delivery.body());
            delivery.at().process().scheduler().schedule(delayMillis / 2, () -> {
                RecordedAnswer recorded = new RecordedAnswer(status, "text/plain", ByteString.copyFromUtf8(answer));
                if (status == 200) {
                    answeredBy.put(delivery.key(), delivery.at());
                }
                if (mutant != Mutant.FORGETS_OUTCOMES) {
                    settle(delivery, ticket, new Outcome.Answered(recorded));
                }
                oracle.toldAnswer(delivery.key(), delivery.body(), answer);
            });
        });
    }

    private void heal() {
        store.setDown(false);
        store.setLatencyMillis(2);
        store.loseReplies(0);
        store.delayWrites(0, 0);
        for (Instance instance : instances) {
            instance.client().setCut(false);
            instance.process().thaw();
        }
        time.advance(30_000);
    }

    private void verify() {
        Instance fresh = start();
        for (int key = 0; key < KEYS; key++) {
            FuzzStep.Deliver again = new FuzzStep.Deliver(key, 0, 0, 5_000, 0, FuzzStep.Endpoint.LOSES_REQUEST);
            fresh.process().run(() -> deliver(fresh, again));
        }
        time.advance(10_000);
        CompletableFuture<Optional<ImmutableList<Bill>>> bills =
                fresh.claims().bills().toCompletableFuture();
        time.advance(5_000);
        List<String> surelyAnswered = answeredBy.entrySet().stream()
                .filter(entry -> !entry.getValue().process().isKilled())
                .map(Map.Entry::getKey)
                .toList();
        oracle.checkBills(bills.getNow(Optional.empty()).orElseThrow(), surelyAnswered);
        oracle.verify();
    }
}
