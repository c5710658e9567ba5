package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.billing.Bill;
import baobabcroft.common.Scheduler;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.slot.CommitResult;
import baobabcroft.slot.RecordKey;
import baobabcroft.slot.RecordKind;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotRecord;
import com.google.common.collect.ImmutableList;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * Claims non-idempotent requests before they are sent, and records their outcomes.
 *
 * <p>Only the attempt whose claim is stored may send, and only once. A claim is never transferred to another attempt.
 *
 * <p>Thread-safe.
 */
public final class ClaimService {
    private static final EventLog LOG = EventLog.of(ClaimService.class);

    private final SlotLog log;
    private final String instance;
    private final ClaimSettings settings;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final LongSupplier random;
    private final ClaimRules rules;
    private final AtomicInteger unsettled = new AtomicInteger();

    private ClaimService(
            SlotLog log,
            String instance,
            ClaimSettings settings,
            Scheduler scheduler,
            InstantSource clock,
            LongSupplier random) {
        this.log = checkNotNull(log);
        this.instance = checkNotNull(instance);
        this.settings = checkNotNull(settings);
        this.scheduler = checkNotNull(scheduler);
        this.clock = checkNotNull(clock);
        this.random = checkNotNull(random);
        this.rules = new ClaimRules(settings);
    }

    /**
     * Returns a service that stores claims in a slot log.
     *
     * @param log stores the claims
     * @param instance name of this process of the instance; a restarted instance must use a new name
     * @param settings timeouts, retention and the size limit of stored answers
     * @param scheduler runs timeouts and polling
     * @param clock wall clock
     * @param random source of uniformly distributed 64-bit numbers, which identify attempts
     * @return a new service
     */
    public static ClaimService create(
            SlotLog log,
            String instance,
            ClaimSettings settings,
            Scheduler scheduler,
            InstantSource clock,
            LongSupplier random) {
        return new ClaimService(log, instance, settings, scheduler, clock, random);
    }

    /**
     * Claims a request. Implements action {@code Claim} of {@code Claim.tla}.
     *
     * @param request the request to claim
     * @return whether the request may be sent, or the reason why not
     */
    public CompletionStage<ClaimResult> claim(ClaimRequest request) {
        long leftMillis = request.deadlineEpochMillis() - clock.millis();
        if (leftMillis <= 0) {
            return CompletableFuture.completedFuture(new ClaimResult.Unavailable(0));
        }
        ClaimTicket ticket = new ClaimTicket(request, instance, random.getAsLong());
        return log.submit(
                        ClaimRules.keyOf(request),
                        rules.claim(ticket),
                        Math.min(leftMillis, settings.claimTimeoutMillis()),
                        rules.settle(ticket, new Outcome.NotRun()))
                .thenApply(ClaimService::resultOf)
                .exceptionally(this::unavailableAfterFailure);
    }

    private ClaimResult unavailableAfterFailure(Throwable cause) {
        LOG.logFailure(LogEvent.RECORD_UNREADABLE, cause, "claim");
        return new ClaimResult.Unavailable(settings.claimTimeoutMillis());
    }

    private static ClaimResult resultOf(CommitResult<ClaimResult> result) {
        if (result instanceof CommitResult.Committed<ClaimResult> committed) {
            return committed.value();
        }
        return new ClaimResult.Unavailable(((CommitResult.Unavailable<ClaimResult>) result).retryAfterMillis());
    }

    /**
     * Waits for the outcome of a request for which {@link #claim} returned {@link ClaimResult.Running}. If the other
     * attempt withdraws its claim meanwhile, claims the request for this caller.
     *
     * @param request the request to wait for
     * @param presence reports whether the claiming instance has terminated
     * @return the outcome; at the request's own deadline the last {@link ClaimResult.Running} result, or
     *     {@link ClaimResult.OutcomeUnknown} if there was none
     */
    public CompletionStage<ClaimResult> awaitOutcome(ClaimRequest request, InstancePresence presence) {
        OutcomeWait wait = new OutcomeWait(this, request, checkNotNull(presence), settings, scheduler, clock);
        return wait.start(log);
    }

    /**
     * Records the outcome of a claimed request, and with it the request's bill. The ticket permits no further send.
     * Implements actions {@code SettleAnswered}, {@code SettleUnknown} and {@code Withdraw} of {@code Claim.tla}.
     *
     * <p>An unknown outcome may be followed by a late answer; every other outcome is final. The write is retried until
     * it succeeds.
     *
     * @param ticket the ticket that {@link #claim} granted
     * @param outcome outcome of the request
     * @return the state of the write, at the latest after {@link ClaimSettings#settleTimeoutMillis}
     */
    public CompletionStage<SettleResult> settle(ClaimTicket ticket, Outcome outcome) {
        ticket.close();
        unsettled.incrementAndGet();
        CompletableFuture<SettleResult> reported = new CompletableFuture<>();
        Scheduler.Cancellable timeout =
                scheduler.schedule(settings.settleTimeoutMillis(), () -> reported.complete(SettleResult.PENDING));
        CompletionStage<SettleResult> stored =
                log.submitUntilDone(ClaimRules.keyOf(ticket.request()), rules.settle(ticket, checkNotNull(outcome)));
        stored.whenComplete((result, failure) -> {
            unsettled.decrementAndGet();
            timeout.cancel();
            reported.complete(failure == null ? result : SettleResult.PENDING);
        });
        return reported;
    }

    /** Withdraws a claim that was granted after its caller stopped waiting. */
    void withdraw(ClaimTicket ticket) {
        settle(ticket, new Outcome.NotRun()).thenAccept(result -> {});
    }

    /**
     * Returns the number of outcomes that are not stored yet. A graceful shutdown waits until it is zero.
     *
     * @return the number of outcomes whose write is in progress
     */
    public int unsettledCount() {
        return unsettled.get();
    }

    /**
     * Returns whether claims can be stored, judged by the most recent calls to the store.
     *
     * @return false during a store outage
     */
    public boolean isAvailable() {
        return log.isAvailable();
    }

    /**
     * Returns the claims without a recorded outcome.
     *
     * @return the open claims, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<OpenClaim>>> openClaims() {
        return log.recentRecords().thenApply(records -> records.map(ClaimService::openClaimsIn));
    }

    /**
     * Returns the bills that follow from the stored claims.
     *
     * @return the bills, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<Bill>>> bills() {
        return log.allRecords().thenApply(records -> records.map(this::billsIn));
    }

    private ImmutableList<Bill> billsIn(ImmutableList<SlotRecord> records) {
        ImmutableList.Builder<Bill> bills = ImmutableList.builder();
        for (SlotRecord record : records) {
            if (record.key().kind() == RecordKind.CLAIM) {
                ClaimCodec.decode(record.payload())
                        .bill(record.key().account(), record.key().name(), clock.millis())
                        .ifPresent(bills::add);
            }
        }
        return bills.build();
    }

    private static ImmutableList<OpenClaim> openClaimsIn(ImmutableList<SlotRecord> records) {
        ImmutableList.Builder<OpenClaim> open = ImmutableList.builder();
        for (SlotRecord record : records) {
            if (record.key().kind() != RecordKind.CLAIM) {
                continue;
            }
            ClaimRecord claim = ClaimCodec.decode(record.payload());
            if (claim.state() == ClaimRecord.State.OPEN) {
                open.add(openClaim(record.key(), claim));
            }
        }
        return open.build();
    }

    private static OpenClaim openClaim(RecordKey key, ClaimRecord claim) {
        return new OpenClaim(
                key.account(),
                key.name(),
                claim.operation(),
                claim.claimingInstance(),
                claim.claimedAtEpochMillis(),
                claim.deadlineEpochMillis());
    }
}
