package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admission.AdmissionDecision;
import baobabcroft.admission.AdmissionDecision.Queued;
import baobabcroft.admission.AdmissionDecision.Refused;
import baobabcroft.admission.AdmissionDecision.Started;
import baobabcroft.admission.AdmissionQueue;
import baobabcroft.admission.AdmissionRequest;
import baobabcroft.admission.AdmissionSettings;
import baobabcroft.admission.AdmissionTicket;
import baobabcroft.admission.PendingRequest;
import baobabcroft.admission.ServiceTimeEstimate;
import baobabcroft.balance.EndpointCriteria;
import baobabcroft.balance.EndpointLease;
import baobabcroft.balance.EndpointPicker;
import baobabcroft.balance.EndpointPool;
import baobabcroft.balance.PoolLoad;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.common.Scheduler;
import baobabcroft.rules.EndpointRule;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Gives requests room on endpoints: at once, after a wait that their deadlines allow, or not at all.
 *
 * <p>There is one admission queue for each version and operation. Thread-safe.
 */
final class Rooms {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EndpointPool pool;
    private final EndpointPicker picker;
    private final AdmissionSettings settings;
    private final Supplier<UniformRandomProvider> random;
    private final Scheduler scheduler;
    private final Ticker ticker;
    private final Map<String, Line> lines = new ConcurrentHashMap<>();

    Rooms(
            EndpointPool pool,
            EndpointPicker picker,
            AdmissionSettings settings,
            Supplier<UniformRandomProvider> random,
            Scheduler scheduler,
            Ticker ticker) {
        this.pool = checkNotNull(pool);
        this.picker = checkNotNull(picker);
        this.settings = checkNotNull(settings);
        this.random = checkNotNull(random);
        this.scheduler = checkNotNull(scheduler);
        this.ticker = checkNotNull(ticker);
    }

    /** The queue of one version or operation, and the endpoints that serve it by the latest rules. */
    private static final class Line {
        private volatile ImmutableList<EndpointRule> endpoints;
        private final AdmissionQueue queue;
        private final ServiceTimeEstimate estimate = ServiceTimeEstimate.create();

        Line(ImmutableList<EndpointRule> endpoints, AdmissionSettings settings, EndpointPool pool, Ticker ticker) {
            this.endpoints = endpoints;
            this.queue = AdmissionQueue.create(settings, () -> pool.load(this.endpoints), ticker);
        }
    }

    /** Returns room on an endpoint of the target, or fails with the refusal, not run. */
    CompletionStage<Room> enter(CallerRequest caller, Target target, EndpointCriteria facts, OptionalLong tokenBound) {
        Line line = lines.computeIfAbsent(target.name(), name -> new Line(target.endpoints(), settings, pool, ticker));
        line.endpoints = target.endpoints();
        if (!facts.excludedEndpoints().isEmpty()) {
            return enterAgain(line, target, facts);
        }
        Entry entry = new Entry(target, facts);
        AdmissionRequest request = new AdmissionRequest(
                caller.account().name(),
                caller.account().priority(),
                facts.remainingMillis(),
                expectedServiceMillis(line, target, tokenBound));
        AdmissionDecision decision = line.queue.offer(request, entry);
        if (decision instanceof Refused refused) {
            return CompletableFuture.failedFuture(refusal(refused, target));
        }
        AdmissionTicket ticket = decision instanceof Started started ? started.ticket() : ((Queued) decision).ticket();
        return entry.lease.thenApply(lease -> new Room(lease, ticket::close, line.estimate, this::drain));
    }

    /**
     * Returns room for a request that has been sent before, or fails at once. It does not queue: it may be unable to
     * use the very endpoints that have room, and would hold up all behind it.
     */
    private CompletionStage<Room> enterAgain(Line line, Target target, EndpointCriteria facts) {
        return pool.tryAcquire(target.endpoints(), facts, picker, random.get())
                .map(lease -> CompletableFuture.completedFuture(new Room(lease, () -> {}, line.estimate, this::drain)))
                .orElseGet(() -> CompletableFuture.failedFuture(RouterException.notRun(
                        ErrorCode.POOL_EXHAUSTED,
                        "no other endpoint of " + target.name() + " has room",
                        RETRY_AFTER_MILLIS)));
    }

    /**
     * Returns the time that a request's own bound on tokens takes; without a bound, the mean of recent answers. While
     * nothing runs it returns zero: only another answer can correct an estimate that one slow answer has spoilt.
     */
    private double expectedServiceMillis(Line line, Target target, OptionalLong tokenBound) {
        PoolLoad load = pool.load(target.endpoints());
        if (load.inFlight() == 0) {
            return 0;
        }
        return tokenBound.isPresent() ? line.estimate.expectedMillis(tokenBound.getAsLong()) : load.serviceMillis();
    }

    /** Starts waiting requests where room was freed, and refuses those that can no longer be answered in time. */
    void drain() {
        lines.values().forEach(line -> {
            if (line.queue.waiting() > 0) {
                line.queue.dispatchWaiting();
            }
        });
    }

    /** Returns how many requests wait for room. */
    int waiting() {
        return lines.values().stream().mapToInt(line -> line.queue.waiting()).sum();
    }

    private static RouterException refusal(Refused refused, Target target) {
        return RouterException.notRun(
                refused.code(), "no endpoint of " + target.name() + " has room in time", refused.retryAfterMillis());
    }

    private final class Entry implements PendingRequest {
        private final Target target;
        private final EndpointCriteria facts;
        private final CompletableFuture<EndpointLease> lease = new CompletableFuture<>();

        Entry(Target target, EndpointCriteria facts) {
            this.target = target;
            this.facts = facts;
        }

        @Override
        public boolean tryStart() {
            Optional<EndpointLease> acquired = pool.tryAcquire(target.endpoints(), facts, picker, random.get());
            acquired.ifPresent(found -> scheduler.schedule(0, () -> lease.complete(found)));
            return acquired.isPresent();
        }

        @Override
        public void refuse(Refused refused) {
            scheduler.schedule(0, () -> lease.completeExceptionally(refusal(refused, target)));
        }
    }
}
