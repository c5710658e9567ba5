package baobabcroft.claim;

import baobabcroft.common.Scheduler;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.slot.SlotLog;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** One caller's wait for a running request: looks again whenever its slot changes, and now and then. Thread-safe. */
final class OutcomeWait {
    private static final EventLog LOG = EventLog.of(OutcomeWait.class);

    private final ClaimService claims;
    private final ClaimRequest request;
    private final InstancePresence presence;
    private final ClaimSettings settings;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final CompletableFuture<ClaimResult> outcome = new CompletableFuture<>();
    private ClaimResult lastSeen = new ClaimResult.OutcomeUnknown();
    private boolean looking;
    private boolean lookAgain;

    OutcomeWait(
            ClaimService claims,
            ClaimRequest request,
            InstancePresence presence,
            ClaimSettings settings,
            Scheduler scheduler,
            InstantSource clock) {
        this.claims = claims;
        this.request = request;
        this.presence = presence;
        this.settings = settings;
        this.scheduler = scheduler;
        this.clock = clock;
    }

    CompletionStage<ClaimResult> start(SlotLog log) {
        AutoCloseable watch = log.watch(ClaimRules.keyOf(request), this::look);
        long leftMillis = Math.max(0, request.deadlineEpochMillis() - clock.millis());
        Scheduler.Cancellable limit = scheduler.schedule(leftMillis, this::giveUp);
        CompletableFuture<ClaimResult> ended = outcome.whenComplete((result, failure) -> {
            limit.cancel();
            close(watch);
        });
        poll();
        return ended;
    }

    private static void close(AutoCloseable watch) {
        try {
            watch.close();
        } catch (Exception e) {
            LOG.logFailure(LogEvent.INTERNAL_FAULT, e, "claim watch");
        }
    }

    private void poll() {
        if (outcome.isDone()) {
            return;
        }
        look();
        scheduler.schedule(settings.pollMillis(), this::poll);
    }

    private void look() {
        synchronized (this) {
            lookAgain = looking;
            if (looking || outcome.isDone()) {
                return;
            }
            looking = true;
        }
        claims.claim(request).thenAccept(this::seen);
    }

    private void seen(ClaimResult result) {
        boolean again;
        synchronized (this) {
            looking = false;
            again = lookAgain;
            lookAgain = false;
            if (result instanceof ClaimResult.Running) {
                lastSeen = result;
            }
        }
        if (result instanceof ClaimResult.Running running) {
            if (presence.hasTerminated(running.claimingInstance())) {
                outcome.complete(new ClaimResult.OutcomeUnknown());
            }
        } else if (!(result instanceof ClaimResult.Unavailable)) {
            accept(result);
        }
        if (again) {
            look();
        }
    }

    private void accept(ClaimResult result) {
        boolean accepted = outcome.complete(result);
        if (!accepted && result instanceof ClaimResult.Granted granted) {
            claims.abandon(granted.ticket());
        }
    }

    private void giveUp() {
        outcome.complete(lastSeen());
    }

    private synchronized ClaimResult lastSeen() {
        return lastSeen;
    }
}
