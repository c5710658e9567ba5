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
 * Reserves endpoint capacity for requests: immediately, after a wait within the request's deadline, or not at all.
 *
 * <p>There is one admission queue per version and per operation. Thread-safe.
 */
final class EndpointAdmission {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final EndpointPool pool;
    private final EndpointPicker picker;
    private final AdmissionSettings settings;
    private final Supplier<UniformRandomProvider> random;
    private final Scheduler scheduler;
    private final Ticker ticker;
    private final Map<String, TargetQueue> queues = new ConcurrentHashMap<>();

    EndpointAdmission(
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
    private static final class TargetQueue {
        private volatile ImmutableList<EndpointRule> endpoints;
        private final AdmissionQueue queue;
        private final ServiceTimeEstimate estimate = ServiceTimeEstimate.create();

        TargetQueue(
                ImmutableList<EndpointRule> endpoints, AdmissionSettings settings, EndpointPool pool, Ticker ticker) {
            this.endpoints = endpoints;
            this.queue = AdmissionQueue.create(settings, () -> pool.load(this.endpoints), ticker);
        }
    }

    /**
     * Reserves capacity on an endpoint of the target, waiting in the admission queue if necessary.
     *
     * @return the reserved capacity; fails with a {@link RouterException} with execution status "not run"
     */
    CompletionStage<EndpointReservation> reserve(
            CallerRequest caller, Target target, EndpointCriteria criteria, OptionalLong maxTokens) {
        TargetQueue targetQueue = queues.computeIfAbsent(
                target.name(), name -> new TargetQueue(target.endpoints(), settings, pool, ticker));
        targetQueue.endpoints = target.endpoints();
        if (!criteria.excludedEndpoints().isEmpty()) {
            return reserveForRetry(targetQueue, target, criteria);
        }
        QueuedReservation reservation = new QueuedReservation(target, criteria);
        AdmissionRequest request = new AdmissionRequest(
                caller.account().name(),
                caller.account().priority(),
                criteria.remainingMillis(),
                expectedServiceMillis(targetQueue, target, maxTokens));
        AdmissionDecision decision = targetQueue.queue.offer(request, reservation);
        if (decision instanceof Refused refused) {
            return CompletableFuture.failedFuture(toRouterException(refused, target));
        }
        AdmissionTicket ticket = decision instanceof Started started ? started.ticket() : ((Queued) decision).ticket();
        return reservation.lease.thenApply(
                lease -> new EndpointReservation(lease, ticket::close, targetQueue.estimate, this::drain));
    }

    /**
     * Reserves capacity for a retry, or fails immediately. A retry is not queued: the endpoints with free capacity may
     * be those that it must not use again, and it would then block the requests behind it in the queue.
     */
    private CompletionStage<EndpointReservation> reserveForRetry(
            TargetQueue targetQueue, Target target, EndpointCriteria criteria) {
        return pool.tryAcquire(target.endpoints(), criteria, picker, random.get())
                .map(lease -> CompletableFuture.completedFuture(
                        new EndpointReservation(lease, () -> {}, targetQueue.estimate, this::drain)))
                .orElseGet(() -> CompletableFuture.failedFuture(RouterException.notRun(
                        ErrorCode.POOL_EXHAUSTED,
                        "no other endpoint of " + target.name() + " has free capacity",
                        pool.load(target.endpoints()).pauseMillis().orElse(RETRY_AFTER_MILLIS))));
    }

    /**
     * Returns the expected service time in milliseconds, from the request's token limit or, without a limit, from the
     * mean of recent responses. Returns zero while no request is in flight, so that the
     * estimate cannot cause a rejection: an estimate distorted by one slow response is corrected only by another
     * response.
     */
    private double expectedServiceMillis(TargetQueue targetQueue, Target target, OptionalLong maxTokens) {
        PoolLoad load = pool.load(target.endpoints());
        if (load.inFlight() == 0) {
            return 0;
        }
        return maxTokens.isPresent()
                ? targetQueue.estimate.expectedMillis(maxTokens.getAsLong())
                : load.serviceMillis();
    }

    /** Starts queued requests on free capacity and rejects those that can no longer meet their deadlines. */
    void drain() {
        queues.values().forEach(targetQueue -> {
            if (targetQueue.queue.waiting() > 0) {
                targetQueue.queue.dispatchWaiting();
            }
        });
    }

    /** Returns the number of queued requests. */
    int queuedRequests() {
        return queues.values().stream()
                .mapToInt(targetQueue -> targetQueue.queue.waiting())
                .sum();
    }

    private static RouterException toRouterException(Refused refused, Target target) {
        return RouterException.notRun(
                refused.code(),
                "no endpoint of " + target.name() + " has free capacity before the deadline",
                refused.retryAfterMillis());
    }

    private final class QueuedReservation implements PendingRequest {
        private final Target target;
        private final EndpointCriteria criteria;
        private final CompletableFuture<EndpointLease> lease = new CompletableFuture<>();

        QueuedReservation(Target target, EndpointCriteria criteria) {
            this.target = target;
            this.criteria = criteria;
        }

        @Override
        public boolean tryStart() {
            Optional<EndpointLease> acquired = pool.tryAcquire(target.endpoints(), criteria, picker, random.get());
            acquired.ifPresent(acquiredLease -> scheduler.schedule(0, () -> lease.complete(acquiredLease)));
            return acquired.isPresent();
        }

        @Override
        public void refuse(Refused refused) {
            scheduler.schedule(0, () -> lease.completeExceptionally(toRouterException(refused, target)));
        }
    }
}
