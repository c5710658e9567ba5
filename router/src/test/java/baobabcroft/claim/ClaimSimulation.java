package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkState;

import baobabcroft.billing.Bill;
import baobabcroft.external.KeyValueStore;
import baobabcroft.fake.FakeCluster;
import baobabcroft.fake.FakeCluster.Instance;
import baobabcroft.fake.UnconditionalWriteStore;
import baobabcroft.fake.VirtualTime;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates several instances with their callers and endpoints over one fake store. A schedule drives the simulation,
 * and a {@link ClaimOracle} checks that each request runs at most once and is reported and charged correctly.
 */
final class ClaimSimulation {
    static final int INSTANCES = 3;
    static final int KEYS = 3;

    private static final SlotLogSettings SLOT_LOG_SETTINGS = new SlotLogSettings(1, 5, 1_000, 64, 300, 10, 1_000);
    private static final int ENDPOINT_DELAY_MILLIS = 40;
    private static final int LATE_ANSWER_MILLIS = 2_000;

    private final ClaimOracle oracle = new ClaimOracle();
    private final SplittableRandom random = new SplittableRandom(11);
    private final Map<String, Instance<ClaimService>> answeredBy = new HashMap<>();
    private final Mutant mutant;
    private int deliveryCount;
    private final FakeCluster<ClaimService> cluster;
    private final VirtualTime time;

    /** Faults injected into the instances' protocol, each of which the oracle must detect. */
    enum Mutant {
        NONE,
        SENDS_WITHOUT_CLAIM,
        SENDS_WHAT_ANOTHER_CLAIMED,
        REFUSES_AFTER_RESET,
        RETRIES_AFTER_RESET,
        WRITES_BLINDLY,
        FORGETS_OUTCOMES
    }

    private record Delivery(int id, ClaimRequest request, FuzzStep.Deliver step, Instance<ClaimService> at) {
        String key() {
            return request.idempotencyKey();
        }

        String body() {
            return request.bodyDigest().toStringUtf8();
        }
    }

    ClaimSimulation(Mutant mutant) {
        this.mutant = mutant;
        this.cluster = new FakeCluster<>(INSTANCES, this::start);
        this.time = cluster.time();
    }

    private ClaimService start(FakeCluster<ClaimService> all, Instance<ClaimService> instance) {
        KeyValueStore view = mutant == Mutant.WRITES_BLINDLY
                ? new UnconditionalWriteStore(all.store(), instance.client())
                : instance.client();
        SlotLogContext context = new SlotLogContext(
                view,
                instance.process().scheduler(),
                Runnable::run,
                all.time().ticker(),
                all.time().wallClock(),
                random::nextLong,
                new MetricRegistry());
        return ClaimService.create(
                SlotLog.create(context, SLOT_LOG_SETTINGS),
                instance.name(),
                ClaimSettings.defaults(),
                instance.process().scheduler(),
                all.time().wallClock(),
                random::nextLong);
    }

    void run(List<FuzzStep> steps) {
        steps.forEach(this::execute);
        cluster.heal();
        verify();
    }

    private void execute(FuzzStep step) {
        if (step instanceof FuzzStep.Deliver deliver) {
            Instance<ClaimService> at = cluster.instance(deliver.place());
            at.process().run(() -> deliver(at, deliver));
        } else if (step instanceof FuzzStep.Disturb disturb) {
            cluster.inject(disturb.disturbance());
        }
    }

    private void deliver(Instance<ClaimService> at, FuzzStep.Deliver step) {
        long deadlineEpochMillis = time.wallClock().millis() + step.timeoutMillis();
        ClaimRequest request = new ClaimRequest(
                "optika",
                "key" + step.key(),
                ByteString.copyFromUtf8("body" + step.body()),
                "orders/place",
                100,
                deadlineEpochMillis);
        Delivery delivery = new Delivery(deliveryCount++, request, step, at);
        if (mutant == Mutant.SENDS_WITHOUT_CLAIM) {
            oracle.recordRun(delivery.id(), delivery.key(), delivery.body());
            return;
        }
        at.service().claim(request).thenAccept(result -> handleResult(delivery, result, true));
    }

    private void handleResult(Delivery delivery, ClaimResult result, boolean mayWait) {
        if (result instanceof ClaimResult.Granted granted) {
            int delayMillis = delivery.step().sendDelayMillis();
            delivery.at().process().scheduler().schedule(delayMillis, () -> send(delivery, granted.ticket()));
        } else if (result instanceof ClaimResult.Recorded recorded) {
            oracle.reportedAnswer(
                    delivery.key(), delivery.body(), recorded.answer().body().toStringUtf8());
        } else if (result instanceof ClaimResult.KeyReused || result instanceof ClaimResult.Unavailable) {
            oracle.reportedNotRun(delivery.id());
        } else if (result instanceof ClaimResult.Running && mutant == Mutant.SENDS_WHAT_ANOTHER_CLAIMED) {
            oracle.recordRun(delivery.id(), delivery.key(), delivery.body());
        } else if (result instanceof ClaimResult.Running && mayWait) {
            delivery.at()
                    .service()
                    .awaitOutcome(delivery.request(), cluster::isKilled)
                    .thenAccept(outcome -> handleResult(delivery, outcome, false));
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
            case LOSES_REQUEST -> scheduleReset(delivery, ticket);
            case CRASHES_AFTER_RUNNING -> {
                oracle.recordRun(delivery.id(), delivery.key(), delivery.body());
                scheduleReset(delivery, ticket);
            }
            case ANSWERS -> run(delivery, ticket, ENDPOINT_DELAY_MILLIS, 200);
            case ANSWERS_WITH_ERROR -> run(delivery, ticket, ENDPOINT_DELAY_MILLIS, 409);
            case ANSWERS_LATE -> {
                scheduleReset(delivery, ticket);
                run(delivery, ticket, LATE_ANSWER_MILLIS, 200);
            }
            default -> throw new AssertionError(endpoint);
        }
    }

    private void withdraw(Delivery delivery, ClaimTicket ticket) {
        settle(delivery, ticket, new Outcome.NotRun());
        oracle.reportedNotRun(delivery.id());
    }

    private static void settle(Delivery delivery, ClaimTicket ticket, Outcome outcome) {
        delivery.at().service().settle(ticket, outcome).thenAccept(result -> {});
    }

    private void scheduleReset(Delivery delivery, ClaimTicket ticket) {
        delivery.at().process().scheduler().schedule(ENDPOINT_DELAY_MILLIS, () -> {
            if (mutant == Mutant.RETRIES_AFTER_RESET) {
                oracle.recordRun(delivery.id(), delivery.key(), delivery.body());
            } else if (mutant == Mutant.REFUSES_AFTER_RESET) {
                withdraw(delivery, ticket);
            } else {
                settle(delivery, ticket, new Outcome.Unknown());
            }
        });
    }

    private void run(Delivery delivery, ClaimTicket ticket, int delayMillis, int status) {
        time.scheduler().schedule(delayMillis / 2, () -> {
            String answer = oracle.recordRun(delivery.id(), delivery.key(), delivery.body());
            delivery.at().process().scheduler().schedule(delayMillis / 2, () -> {
                RecordedAnswer recorded = new RecordedAnswer(status, "text/plain", ByteString.copyFromUtf8(answer));
                if (status == 200) {
                    answeredBy.put(delivery.key(), delivery.at());
                }
                if (mutant != Mutant.FORGETS_OUTCOMES) {
                    settle(delivery, ticket, new Outcome.Answered(recorded));
                }
                oracle.reportedAnswer(delivery.key(), delivery.body(), answer);
            });
        });
    }

    private void verify() {
        Instance<ClaimService> fresh = cluster.startInstance();
        for (int key = 0; key < KEYS; key++) {
            FuzzStep.Deliver again = new FuzzStep.Deliver(key, 0, 0, 5_000, 0, FuzzStep.Endpoint.LOSES_REQUEST);
            fresh.process().run(() -> deliver(fresh, again));
        }
        time.advance(10_000);
        CompletableFuture<Optional<ImmutableList<Bill>>> bills =
                fresh.service().bills().toCompletableFuture();
        time.advance(5_000);
        List<String> answeredKeys = answeredBy.entrySet().stream()
                .filter(entry -> !entry.getValue().process().isKilled())
                .map(Map.Entry::getKey)
                .toList();
        oracle.checkBills(bills.getNow(Optional.empty()).orElseThrow(), answeredKeys);
        oracle.verify();
    }
}
