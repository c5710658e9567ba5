package baobabcroft.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admission.AdmissionDecision.Queued;
import baobabcroft.admission.AdmissionDecision.Refused;
import baobabcroft.admission.AdmissionDecision.Started;
import baobabcroft.admission.AdmissionTicket.Stage;
import baobabcroft.balance.PoolLoad;
import baobabcroft.common.ErrorCode;
import com.google.common.base.Ticker;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Admission control for one pool of endpoints: starts requests while the pool has capacity and queues the others.
 *
 * <p>A request is refused at once when its expected start is too late for its deadline. Waiting requests start in order
 * of priority; within a priority, the account with the fewest running requests goes first, so that a large account
 * cannot starve small ones. Each priority leaves part of the capacity to every higher priority with recent requests.
 *
 * <p>Thread-safe. The methods of {@link PendingRequest} are called under the lock of this queue.
 */
public final class AdmissionQueue {
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long EXHAUSTED_RETRY_AFTER_MILLIS = 1_000;

    private final AdmissionSettings settings;
    private final Supplier<PoolLoad> poolLoad;
    private final Ticker ticker;
    private final WaitQueue waitQueue = new WaitQueue();
    private final Map<Integer, Long> lastOfferNanosByPriority = new HashMap<>();

    private AdmissionQueue(AdmissionSettings settings, Supplier<PoolLoad> poolLoad, Ticker ticker) {
        this.settings = settings;
        this.poolLoad = poolLoad;
        this.ticker = ticker;
    }

    /**
     * Returns an empty queue.
     *
     * @param settings limits of the queue
     * @param poolLoad returns the current load of the endpoints that serve the requests of this queue
     * @param ticker the monotonic clock
     * @return the queue
     */
    public static AdmissionQueue create(AdmissionSettings settings, Supplier<PoolLoad> poolLoad, Ticker ticker) {
        return new AdmissionQueue(checkNotNull(settings), checkNotNull(poolLoad), checkNotNull(ticker));
    }

    /**
     * Starts, queues or refuses a request.
     *
     * @param request the properties by which the request is judged
     * @param pending starts the request, at once or later; also receives a refusal if the request was queued
     * @return the decision
     */
    public synchronized AdmissionDecision offer(AdmissionRequest request, PendingRequest pending) {
        long nowNanos = ticker.read();
        lastOfferNanosByPriority.put(request.priority(), nowNanos);
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.remainingMillis());
        AdmissionTicket ticket = new AdmissionTicket(this, request, checkNotNull(pending), deadlineNanos);
        PoolLoad load = poolLoad.get();
        if (load.capacity() == 0) {
            return awaitPauseEnd(ticket, load, nowNanos);
        }
        double slackMillis = request.remainingMillis() - request.expectedServiceMillis();
        if (slackMillis < 0) {
            return new Refused(ErrorCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER_MILLIS);
        }
        if (precedesWaiting(request) && tryStart(ticket, load, nowNanos)) {
            return new Started(ticket);
        }
        double waitMillis = expectedWaitMillis(request, load);
        if (waitMillis > slackMillis) {
            return new Refused(ErrorCode.DEADLINE_UNREACHABLE, retryAfterMillis(waitMillis - slackMillis));
        }
        return queue(ticket, waitMillis);
    }

    /** Queues a request that has time until an endpoint ends its pause, and refuses it otherwise. */
    private AdmissionDecision awaitPauseEnd(AdmissionTicket ticket, PoolLoad load, long nowNanos) {
        if (load.pauseMillis().isEmpty()) {
            return new Refused(ErrorCode.POOL_EXHAUSTED, EXHAUSTED_RETRY_AFTER_MILLIS);
        }
        double pauseMillis = load.pauseMillis().getAsLong();
        return hasTimeAfter(pauseMillis, ticket, load, nowNanos)
                ? queue(ticket, pauseMillis)
                : new Refused(ErrorCode.POOL_EXHAUSTED, retryAfterMillis(pauseMillis));
    }

    private static boolean hasTimeAfter(double pauseMillis, AdmissionTicket ticket, PoolLoad load, long nowNanos) {
        double remainingMillis = (double) (ticket.deadlineNanos() - nowNanos) / TimeUnit.MILLISECONDS.toNanos(1);
        double serviceMillis = Math.max(load.serviceMillis(), ticket.request().expectedServiceMillis());
        return pauseMillis + serviceMillis <= remainingMillis;
    }

    private boolean precedesWaiting(AdmissionRequest request) {
        return waitQueue
                .next()
                .map(next -> next.request().priority() < request.priority())
                .orElse(true);
    }

    private AdmissionDecision queue(AdmissionTicket ticket, double waitMillis) {
        if (waitQueue.size() >= settings.maxWaiting()) {
            Refused overloaded = new Refused(ErrorCode.OVERLOADED, retryAfterMillis(waitMillis));
            Optional<AdmissionTicket> last = waitQueue.shedCandidate().filter(waiting -> isShedBefore(waiting, ticket));
            if (last.isEmpty()) {
                return overloaded;
            }
            refuse(last.get(), overloaded);
        }
        waitQueue.add(ticket);
        return new Queued(ticket);
    }

    private boolean isShedBefore(AdmissionTicket waiting, AdmissionTicket offered) {
        int byPriority =
                Integer.compare(waiting.request().priority(), offered.request().priority());
        boolean hasMoreWaiting =
                waitQueue.countWaiting(waiting.request()) > waitQueue.countWaiting(offered.request()) + 1;
        return byPriority < 0 || (byPriority == 0 && hasMoreWaiting);
    }

    /** Starts waiting requests while there is capacity, and refuses those that can no longer meet their deadline. */
    public synchronized void dispatchWaiting() {
        long nowNanos = ticker.read();
        refuseWithoutTimeForPause(poolLoad.get(), nowNanos);
        Optional<AdmissionTicket> next = waitQueue.next();
        while (next.isPresent()) {
            AdmissionTicket ticket = next.get();
            if (isTooLate(ticket, nowNanos)) {
                refuse(ticket, new Refused(ErrorCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER_MILLIS));
            } else if (!tryStartWaiting(ticket, nowNanos)) {
                return;
            }
            next = waitQueue.next();
        }
    }

    private void refuseWithoutTimeForPause(PoolLoad load, long nowNanos) {
        if (load.capacity() > 0 || load.pauseMillis().isEmpty()) {
            return;
        }
        double pauseMillis = load.pauseMillis().getAsLong();
        Refused refused = new Refused(ErrorCode.POOL_EXHAUSTED, retryAfterMillis(pauseMillis));
        waitQueue.all().stream()
                .filter(ticket -> !hasTimeAfter(pauseMillis, ticket, load, nowNanos))
                .forEach(ticket -> refuse(ticket, refused));
    }

    private static boolean isTooLate(AdmissionTicket ticket, long nowNanos) {
        double remainingNanos = ticket.deadlineNanos() - nowNanos;
        return remainingNanos / TimeUnit.MILLISECONDS.toNanos(1)
                < ticket.request().expectedServiceMillis();
    }

    private boolean tryStartWaiting(AdmissionTicket ticket, long nowNanos) {
        if (!tryStart(ticket, poolLoad.get(), nowNanos)) {
            return false;
        }
        waitQueue.remove(ticket);
        return true;
    }

    private boolean tryStart(AdmissionTicket ticket, PoolLoad load, long nowNanos) {
        if (load.load() >= usableCapacity(ticket.request(), load, nowNanos)) {
            return false;
        }
        if (!ticket.pending().tryStart()) {
            return false;
        }
        ticket.setStage(Stage.RUNNING);
        waitQueue.incrementRunning(ticket.request().account());
        return true;
    }

    private double usableCapacity(AdmissionRequest request, PoolLoad load, long nowNanos) {
        long reservationNanos = TimeUnit.MILLISECONDS.toNanos(settings.reservationMillis());
        long higherPriorities = lastOfferNanosByPriority.entrySet().stream()
                .filter(lastOffer ->
                        lastOffer.getKey() > request.priority() && nowNanos - lastOffer.getValue() < reservationNanos)
                .count();
        return Math.max(1, load.capacity() * (1 - settings.reserveShare() * higherPriorities));
    }

    private double expectedWaitMillis(AdmissionRequest request, PoolLoad load) {
        double serviceMillis = Math.max(load.serviceMillis(), 1);
        return (waitQueue.countAhead(request) + 1) * serviceMillis / Math.max(1, load.inFlight());
    }

    private static long retryAfterMillis(double millis) {
        return Math.max(MIN_RETRY_AFTER_MILLIS, (long) Math.ceil(millis));
    }

    private void refuse(AdmissionTicket ticket, Refused refused) {
        waitQueue.remove(ticket);
        ticket.setStage(Stage.CLOSED);
        ticket.pending().refuse(refused);
    }

    synchronized void close(AdmissionTicket ticket) {
        if (ticket.stage() == Stage.RUNNING) {
            waitQueue.decrementRunning(ticket.request().account());
        }
        if (ticket.stage() == Stage.WAITING) {
            waitQueue.remove(ticket);
        }
        ticket.setStage(Stage.CLOSED);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the length of the queue, without running requests
     */
    public synchronized int waiting() {
        return waitQueue.size();
    }
}
