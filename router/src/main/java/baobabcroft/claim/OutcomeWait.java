package baobabcroft.claim;

import baobabcroft.common.Scheduler;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.slot.SlotLog;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Waits on behalf of one caller for a request that another attempt is running. Tries to claim the request whenever its
 * slot changes, and also at a fixed interval, which covers missed notifications and detects that the claiming instance
 * has terminated.
 *
 * <p>Thread-safe.
 */
final class OutcomeWait {
    private static final EventLog LOG = EventLog.of(OutcomeWait.class);

    private final ClaimService claims;
    private final ClaimRequest request;
    private final InstancePresence presence;
    private final ClaimSettings settings;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final CompletableFuture<ClaimResult> outcome = new CompletableFuture<>();
    private ClaimResult lastRunningResult = new ClaimResult.OutcomeUnknown();
    private boolean claimInProgress;
    private boolean claimAgain;

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
        AutoCloseable watch = log.watch(ClaimRules.keyOf(request), this::tryClaim);
        long leftMillis = Math.max(0, request.deadlineEpochMillis() - clock.millis());
        Scheduler.Cancellable deadlineTimer = scheduler.schedule(leftMillis, this::onDeadline);
        CompletableFuture<ClaimResult> completed = outcome.whenComplete((result, failure) -> {
            deadlineTimer.cancel();
            close(watch);
        });
        poll();
        return completed;
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
        tryClaim();
        scheduler.schedule(settings.pollIntervalMillis(), this::poll);
    }

    private void tryClaim() {
        synchronized (this) {
            claimAgain = claimInProgress;
            if (claimInProgress || outcome.isDone()) {
                return;
            }
            claimInProgress = true;
        }
        claims.claim(request).thenAccept(this::onClaimResult);
    }

    private void onClaimResult(ClaimResult result) {
        boolean retryNow;
        synchronized (this) {
            claimInProgress = false;
            retryNow = claimAgain;
            claimAgain = false;
            if (result instanceof ClaimResult.Running) {
                lastRunningResult = result;
            }
        }
        if (result instanceof ClaimResult.Running running) {
            if (presence.hasTerminated(running.claimingInstance())) {
                outcome.complete(new ClaimResult.OutcomeUnknown());
            }
        } else if (!(result instanceof ClaimResult.Unavailable)) {
            complete(result);
        }
        if (retryNow) {
            tryClaim();
        }
    }

    private void complete(ClaimResult result) {
        boolean accepted = outcome.complete(result);
        if (!accepted && result instanceof ClaimResult.Granted granted) {
            claims.withdraw(granted.ticket());
        }
    }

    private void onDeadline() {
        outcome.complete(lastRunningResult());
    }

    private synchronized ClaimResult lastRunningResult() {
        return lastRunningResult;
    }
}
