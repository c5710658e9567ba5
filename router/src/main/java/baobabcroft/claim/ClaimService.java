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
 * <p>Only the attempt whose claim is stored may send, and only once; nobody takes a claim over. Thread-safe.
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
     * Returns a service over a slot log.
     *
     * @param log the log
     * @param instance name of this instance; a restarted one needs another name
     * @param settings the settings
     * @param scheduler runs time limits
     * @param clock wall clock
     * @param random uniformly distributed 64-bit numbers
     * @return the service
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
     * Claims a request. Action {@code Claim} of the specification.
     *
     * @param request the request
     * @return whether it may be sent, and if not, why
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
                        Math.min(leftMillis, settings.limitMillis()),
                        rules.settle(ticket, new Outcome.NotRun()))
                .thenApply(ClaimService::resultOf)
                .exceptionally(this::refuseDamaged);
    }

    private ClaimResult refuseDamaged(Throwable cause) {
        LOG.logFailure(LogEvent.RECORD_UNREADABLE, cause, "claim");
        return new ClaimResult.Unavailable(settings.limitMillis());
    }

    private static ClaimResult resultOf(CommitResult<ClaimResult> result) {
        if (result instanceof CommitResult.Committed<ClaimResult> committed) {
            return committed.value();
        }
        return new ClaimResult.Unavailable(((CommitResult.Unavailable<ClaimResult>) result).retryAfterMillis());
    }

    /**
     * Waits for the outcome of a request that {@link #claim} found running, and claims it if it was withdrawn
     * meanwhile.
     *
     * @param request the request
     * @param presence tells whether the claiming instance has ended
     * @return the outcome; still {@link ClaimResult.Running} if the request's own deadline came first
     */
    public CompletionStage<ClaimResult> awaitOutcome(ClaimRequest request, InstancePresence presence) {
        OutcomeWait wait = new OutcomeWait(this, request, checkNotNull(presence), settings, scheduler, clock);
        return wait.start(log);
    }

    /**
     * Records the outcome of a claimed request, together with its bill. The ticket can send no more. Actions
     * {@code SettleAnswered}, {@code SettleUnknown} and {@code Withdraw} of the specification.
     *
     * <p>An unknown outcome may be followed by a late answer; anything else is final. Tried until it is stored.
     *
     * @param ticket the ticket
     * @param outcome the outcome
     * @return how far the record got after the settings' waiting time at the latest
     */
    public CompletionStage<SettleResult> settle(ClaimTicket ticket, Outcome outcome) {
        ticket.close();
        unsettled.incrementAndGet();
        CompletableFuture<SettleResult> reported = new CompletableFuture<>();
        Scheduler.Cancellable limit =
                scheduler.schedule(settings.settleWaitMillis(), () -> reported.complete(SettleResult.PENDING));
        CompletionStage<SettleResult> stored =
                log.submitUntilDone(ClaimRules.keyOf(ticket.request()), rules.settle(ticket, checkNotNull(outcome)));
        stored.whenComplete((result, failure) -> {
            unsettled.decrementAndGet();
            limit.cancel();
            reported.complete(failure == null ? result : SettleResult.PENDING);
        });
        return reported;
    }

    /** Withdraws a claim that nobody waits for any more. */
    void abandon(ClaimTicket ticket) {
        settle(ticket, new Outcome.NotRun()).thenAccept(result -> {});
    }

    /**
     * Returns how many outcomes are not stored yet. A graceful shutdown waits for zero.
     *
     * @return the number of outcomes on their way
     */
    public int unsettledCount() {
        return unsettled.get();
    }

    /**
     * Returns whether claims can be stored, as far as the last calls of the store showed.
     *
     * @return false during an outage
     */
    public boolean isAvailable() {
        return log.isAvailable();
    }

    /**
     * Lists the claims without an outcome.
     *
     * @return the claims, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<OpenClaim>>> openClaims() {
        return log.recentRecords().thenApply(records -> records.map(ClaimService::openClaimsAmong));
    }

    /**
     * Reads the bills that claims stand for.
     *
     * @return the bills, or empty if the store did not answer
     */
    public CompletionStage<Optional<ImmutableList<Bill>>> bills() {
        return log.allRecords().thenApply(records -> records.map(this::billsAmong));
    }

    private ImmutableList<Bill> billsAmong(ImmutableList<SlotRecord> records) {
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

    private static ImmutableList<OpenClaim> openClaimsAmong(ImmutableList<SlotRecord> records) {
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
