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
 * Requests for one pool of endpoints that run or wait for room.
 *
 * <p>A request is refused at once when its expected start is too late for its deadline. Waiting requests start by class
 * and, within a class, for the account with the fewest running ones, so that a large account cannot starve the small
 * ones. A class leaves part of the capacity to greater classes that were seen lately.
 *
 * <p>Thread-safe. Attempts are called under the lock; see {@link PendingRequest}.
 */
public final class AdmissionQueue {
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long EXHAUSTED_RETRY_AFTER_MILLIS = 1_000;

    private final AdmissionSettings settings;
    private final Supplier<PoolLoad> pool;
    private final Ticker ticker;
    private final WaitingLine line = new WaitingLine();
    private final Map<Integer, Long> seenNanosByClass = new HashMap<>();

    private AdmissionQueue(AdmissionSettings settings, Supplier<PoolLoad> pool, Ticker ticker) {
        this.settings = settings;
        this.pool = pool;
        this.ticker = ticker;
    }

    /**
     * Returns an empty queue.
     *
     * @param settings its bounds
     * @param pool tells the present load of the endpoints that the queue's requests run on
     * @param ticker the monotonic clock
     * @return the queue
     */
    public static AdmissionQueue create(AdmissionSettings settings, Supplier<PoolLoad> pool, Ticker ticker) {
        return new AdmissionQueue(checkNotNull(settings), checkNotNull(pool), checkNotNull(ticker));
    }

    /**
     * Starts, queues or refuses a request.
     *
     * @param request the request
     * @param attempt starts it
     * @return what became of it
     */
    public synchronized AdmissionDecision offer(AdmissionRequest request, PendingRequest attempt) {
        long nowNanos = ticker.read();
        seenNanosByClass.put(request.priority(), nowNanos);
        long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.remainingMillis());
        AdmissionTicket ticket = new AdmissionTicket(this, request, checkNotNull(attempt), dueNanos);
        PoolLoad load = pool.get();
        if (load.capacity() == 0) {
            return new Refused(ErrorCode.POOL_EXHAUSTED, EXHAUSTED_RETRY_AFTER_MILLIS);
        }
        double slackMillis = request.remainingMillis() - request.expectedServiceMillis();
        if (slackMillis < 0) {
            return new Refused(ErrorCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER_MILLIS);
        }
        if (isNext(request) && start(ticket, load, nowNanos)) {
            return new Started(ticket);
        }
        double waitMillis = expectedWaitMillis(request, load);
        if (waitMillis > slackMillis) {
            return new Refused(ErrorCode.DEADLINE_UNREACHABLE, retryAfterMillis(waitMillis - slackMillis));
        }
        return queue(ticket, waitMillis);
    }

    private boolean isNext(AdmissionRequest request) {
        return line.next()
                .map(next -> next.request().priority() < request.priority())
                .orElse(true);
    }

    private AdmissionDecision queue(AdmissionTicket ticket, double waitMillis) {
        if (line.size() >= settings.maxWaiting()) {
            Refused overloaded = new Refused(ErrorCode.OVERLOADED, retryAfterMillis(waitMillis));
            Optional<AdmissionTicket> last = line.last().filter(waiting -> shedsBefore(waiting, ticket));
            if (last.isEmpty()) {
                return overloaded;
            }
            refuse(last.get(), overloaded);
        }
        line.add(ticket);
        return new Queued(ticket);
    }

    private boolean shedsBefore(AdmissionTicket waiting, AdmissionTicket offered) {
        int byClass =
                Integer.compare(waiting.request().priority(), offered.request().priority());
        boolean longerLine = line.waiting(waiting.request()) > line.waiting(offered.request()) + 1;
        return byClass < 0 || (byClass == 0 && longerLine);
    }

    /** Starts waiting requests while there is room, and refuses those that can no longer be answered in time. */
    public synchronized void dispatchWaiting() {
        long nowNanos = ticker.read();
        Optional<AdmissionTicket> next = line.next();
        while (next.isPresent()) {
            AdmissionTicket ticket = next.get();
            if (isTooLate(ticket, nowNanos)) {
                refuse(ticket, new Refused(ErrorCode.DEADLINE_UNREACHABLE, MIN_RETRY_AFTER_MILLIS));
            } else if (!startWaiting(ticket, nowNanos)) {
                return;
            }
            next = line.next();
        }
    }

    private static boolean isTooLate(AdmissionTicket ticket, long nowNanos) {
        double leftNanos = ticket.dueNanos() - nowNanos;
        return leftNanos / TimeUnit.MILLISECONDS.toNanos(1) < ticket.request().expectedServiceMillis();
    }

    private boolean startWaiting(AdmissionTicket ticket, long nowNanos) {
        if (!start(ticket, pool.get(), nowNanos)) {
            return false;
        }
        line.remove(ticket);
        return true;
    }

    private boolean start(AdmissionTicket ticket, PoolLoad load, long nowNanos) {
        if (load.load() >= usableCapacity(ticket.request(), load, nowNanos)) {
            return false;
        }
        if (!ticket.attempt().tryStart()) {
            return false;
        }
        ticket.setStage(Stage.RUNNING);
        line.started(ticket.request().account());
        return true;
    }

    private double usableCapacity(AdmissionRequest request, PoolLoad load, long nowNanos) {
        long recentNanos = TimeUnit.MILLISECONDS.toNanos(settings.recentMillis());
        long greaterClasses = seenNanosByClass.entrySet().stream()
                .filter(seen -> seen.getKey() > request.priority() && nowNanos - seen.getValue() < recentNanos)
                .count();
        return Math.max(1, load.capacity() * (1 - settings.reserveShare() * greaterClasses));
    }

    private double expectedWaitMillis(AdmissionRequest request, PoolLoad load) {
        double serviceMillis = Math.max(load.serviceMillis(), 1);
        return (line.ahead(request) + 1) * serviceMillis / Math.max(1, load.inFlight());
    }

    private static long retryAfterMillis(double millis) {
        return Math.max(MIN_RETRY_AFTER_MILLIS, (long) Math.ceil(millis));
    }

    private void refuse(AdmissionTicket ticket, Refused refused) {
        line.remove(ticket);
        ticket.setStage(Stage.CLOSED);
        ticket.attempt().refuse(refused);
    }

    synchronized void close(AdmissionTicket ticket) {
        if (ticket.stage() == Stage.RUNNING) {
            line.ended(ticket.request().account());
        }
        if (ticket.stage() == Stage.WAITING) {
            line.remove(ticket);
        }
        ticket.setStage(Stage.CLOSED);
    }

    /**
     * Returns how many requests wait.
     *
     * @return the length of the queue
     */
    public synchronized int waiting() {
        return line.size();
    }
}
