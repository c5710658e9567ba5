package baobabcroft.experiment;

import baobabcroft.billing.Bill;
import baobabcroft.billing.BillService;
import baobabcroft.billing.BillingContext;
import baobabcroft.billing.BillingSettings;
import baobabcroft.claim.ClaimRequest;
import baobabcroft.claim.ClaimResult;
import baobabcroft.claim.ClaimService;
import baobabcroft.claim.ClaimSettings;
import baobabcroft.claim.ClaimTicket;
import baobabcroft.claim.Outcome;
import baobabcroft.claim.RecordedAnswer;
import baobabcroft.fake.FakeCluster;
import baobabcroft.fake.FakeStore;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Measures, in virtual time, how many calls of the store a claimed request and a bill cost. Prints tables. */
public final class StoreCallsExperiment {
    private static final int INSTANCES = 9;
    private static final int STORE_LATENCY_MILLIS = 4;
    private static final int ANSWER_MILLIS = 100;
    private static final int[] RATES_PER_SECOND = {1, 10, 100, 1_000};
    private static final int REQUESTS = 5_000;

    private final SplittableRandom random = new SplittableRandom(1);
    private final List<Long> latenciesMillis = new ArrayList<>();
    private int requests;

    private StoreCallsExperiment() {}

    /** Runs the experiment; arguments are the number of slots and the commit window in milliseconds. */
    public static void main(String[] args) {
        SlotLogSettings defaults = SlotLogSettings.defaults();
        int slots = args.length > 0 ? Integer.parseInt(args[0]) : defaults.slots();
        long windowMillis = args.length > 1 ? Long.parseLong(args[1]) : defaults.windowMillis();
        SlotLogSettings settings = new SlotLogSettings(
                slots,
                windowMillis,
                defaults.freshMillis(),
                defaults.maxQueued(),
                defaults.sealBytes(),
                defaults.backoffMinMillis(),
                defaults.backoffMaxMillis());
        System.out.println("| | requests/s | reads/request | writes/request | writes/s | p50 ms | p99 ms | failed |");
        System.out.println("|---|---|---|---|---|---|---|---|");
        for (int rate : RATES_PER_SECOND) {
            new StoreCallsExperiment().measureClaims(rate, settings);
        }
        for (int rate : RATES_PER_SECOND) {
            new StoreCallsExperiment().measureBills(rate);
        }
    }

    private void measureClaims(int ratePerSecond, SlotLogSettings settings) {
        FakeCluster<ClaimService> machines = new FakeCluster<>(INSTANCES, (all, machine) -> {
            SlotLogContext context = new SlotLogContext(
                    machine.client(),
                    all.time().scheduler(),
                    Runnable::run,
                    all.time().ticker(),
                    all.time().wallClock(),
                    random::nextLong,
                    new MetricRegistry());
            return ClaimService.create(
                    SlotLog.create(context, settings),
                    machine.name(),
                    ClaimSettings.defaults(),
                    all.time().scheduler(),
                    all.time().wallClock(),
                    random::nextLong);
        });
        measure("claim and outcome", ratePerSecond, machines, claims -> claimAndSettle(claims, machines));
    }

    private CompletionStage<Boolean> claimAndSettle(ClaimService claims, FakeCluster<ClaimService> machines) {
        ClaimRequest request = new ClaimRequest(
                "account",
                "key-" + requests++,
                ByteString.copyFromUtf8("digest of 32 bytes, more or less"),
                "orders/place",
                100,
                machines.time().wallClock().millis() + 10_000);
        return claims.claim(request).thenApply(result -> {
            if (!(result instanceof ClaimResult.Granted granted)) {
                return false;
            }
            machines.time().scheduler().schedule(ANSWER_MILLIS, () -> settle(claims, granted.ticket()));
            return true;
        });
    }

    private static void settle(ClaimService claims, ClaimTicket ticket) {
        ByteString body = ByteString.copyFromUtf8("x".repeat(200));
        claims.settle(ticket, new Outcome.Answered(new RecordedAnswer(200, "application/json", body)))
                .thenAccept(result -> {});
    }

    private void measureBills(int ratePerSecond) {
        FakeCluster<BillService> machines = new FakeCluster<>(INSTANCES, (all, machine) -> {
            BillingContext context = new BillingContext(
                    machine.client(),
                    all.time().scheduler(),
                    Runnable::run,
                    all.time().ticker(),
                    random::nextDouble,
                    new MetricRegistry());
            return BillService.create(
                    machine.name(),
                    context,
                    BillingSettings.defaults(),
                    bills -> CompletableFuture.completedFuture(false));
        });
        measure("bill", ratePerSecond, machines, bills -> bills.record(bill()).thenApply(result -> true));
    }

    private Bill bill() {
        return new Bill(
                "account", "request-" + requests++, Bill.Kind.GENERATION, "film@1", 99, 7, Bill.Outcome.ANSWERED, 1);
    }

    private <S> void measure(
            String what, int ratePerSecond, FakeCluster<S> machines, Function<S, CompletionStage<Boolean>> request) {
        int[] failed = new int[1];
        FakeStore store = machines.store();
        store.setLatencyMillis(STORE_LATENCY_MILLIS);
        double atMillis = 0;
        for (int i = 0; i < REQUESTS; i++) {
            atMillis -= Math.log(1 - random.nextDouble()) * 1_000 / ratePerSecond;
            machines.time()
                    .advance(Math.max(0, (long) atMillis - machines.time().nowMillis()));
            long startedAtMillis = machines.time().nowMillis();
            request.apply(machines.instance(random.nextInt(INSTANCES)).service())
                    .thenAccept(succeeded -> {
                        latenciesMillis.add(machines.time().nowMillis() - startedAtMillis);
                        failed[0] += succeeded ? 0 : 1;
                    });
        }
        long endMillis = machines.time().nowMillis();
        machines.time().advance(5_000);
        FakeStore.Calls calls = store.calls();
        Collections.sort(latenciesMillis);
        System.out.printf(
                "| %s | %d | %.2f | %.2f | %.1f | %d | %d | %d |%n",
                what,
                ratePerSecond,
                (double) calls.reads() / REQUESTS,
                (double) calls.writes() / REQUESTS,
                calls.writes() * 1_000.0 / endMillis,
                latenciesMillis.get(latenciesMillis.size() / 2),
                latenciesMillis.get(latenciesMillis.size() * 99 / 100),
                failed[0]);
    }
}
