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
import baobabcroft.admission.Attempt;
import baobabcroft.admission.ServiceEstimate;
import baobabcroft.balance.EndpointLease;
import baobabcroft.balance.EndpointPicker;
import baobabcroft.balance.EndpointPool;
import baobabcroft.balance.PoolLoad;
import baobabcroft.balance.RequestFacts;
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
 * Reserves endpoint capacity for requests: immediately, after a wait within the request's deadline, or not at all.
 *
 * <p>There is one admission queue per version and per operation. Thread-safe.
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

    /** The admission queue of one version or operation, and its endpoints under the latest rules. */
    private static final class Line {
        private volatile ImmutableList<EndpointRule> endpoints;
        private final AdmissionQueue queue;
        private final ServiceEstimate estimate = ServiceEstimate.create();

        Line(ImmutableList<EndpointRule> endpoints, AdmissionSettings settings, EndpointPool pool, Ticker ticker) {
            this.endpoints = endpoints;
            this.queue = AdmissionQueue.create(settings, () -> pool.load(this.endpoints), ticker);
        }
    }

    /**
     * Reserves capacity on an endpoint of the target, waiting in the admission queue if necessary.
     *
     * @return the reserved capacity; fails with a {@link RouterException} with execution status "not run"
     */
    CompletionStage<Room> enter(CallerRequest caller, Target target, RequestFacts facts, OptionalLong tokenBound) {
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
     * Reserves capacity for a retry, or fails immediately. A retry is not queued: the endpoints with free capacity may be
     * those that it must not use again, and it would then block the requests behind it in the queue.
     */
    private CompletionStage<Room> enterAgain(Line line, Target target, RequestFacts facts) {
        return pool.tryAcquire(target.endpoints(), facts, picker, random.get())
                .map(lease -> CompletableFuture.completedFuture(new Room(lease, () -> {}, line.estimate, this::drain)))
                .orElseGet(() -> CompletableFuture.failedFuture(RouterException.notRun(
                        ErrorCode.POOL_EXHAUSTED,
                        "no other endpoint of " + target.name() + " has free capacity",
                        RETRY_AFTER_MILLIS)));
    }

    /**
     * Returns the expected service time in milliseconds, from the request's token limit or, without a limit, from the
     * mean of recent responses. Returns zero while no request is in flight, so that a request is always admitted then:
     * an estimate distorted by one slow response is corrected only by another response.
     */
    private double expectedServiceMillis(Line line, Target target, OptionalLong tokenBound) {
        PoolLoad load = pool.load(target.endpoints());
        if (load.inFlight() == 0) {
            return 0;
        }
        return tokenBound.isPresent() ? line.estimate.millisFor(tokenBound.getAsLong()) : load.serviceMillis();
    }

    /** Starts queued requests on free capacity and rejects those that can no longer meet their deadlines. */
    void drain() {
        lines.values().forEach(line -> {
            if (line.queue.waiting() > 0) {
                line.queue.drain();
            }
        });
    }

    /** Returns the number of queued requests. */
    int waiting() {
        return lines.values().stream().mapToInt(line -> line.queue.waiting()).sum();
    }

    private static RouterException refusal(Refused refused, Target target) {
        return RouterException.notRun(
                refused.code(),
                "no endpoint of " + target.name() + " has free capacity before the deadline",
                refused.retryAfterMillis());
    }

    private final class Entry implements Attempt {
        private final Target target;
        private final RequestFacts facts;
        private final CompletableFuture<EndpointLease> lease = new CompletableFuture<>();

        Entry(Target target, RequestFacts facts) {
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
