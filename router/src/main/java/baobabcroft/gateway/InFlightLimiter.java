package baobabcroft.gateway;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Counts the requests that an instance is running and closes when it stops.
 *
 * <p>Thread-safe. Every {@link #acquire} that returns is followed by one {@link #release}.
 */
public final class InFlightLimiter {
    private final int maxConcurrent;
    private final CompletableFuture<Void> idleAfterClose = new CompletableFuture<>();
    private int running;
    private boolean closing;
    private boolean closed;

    private InFlightLimiter(int maxConcurrent) {
        this.maxConcurrent = maxConcurrent;
    }

    /**
     * Returns an open gate.
     *
     * @param maxConcurrent requests that may run at once
     * @return the gate
     */
    public static InFlightLimiter create(int maxConcurrent) {
        return new InFlightLimiter(maxConcurrent);
    }

    /**
     * Lets a request in.
     *
     * @param retryAfterMillis when a refused caller is told to come back
     * @throws RouterException with {@code draining} or {@code overloaded}, not run
     */
    public synchronized void acquire(long retryAfterMillis) {
        if (closed) {
            throw RouterException.notRun(ErrorCode.DRAINING, "this instance is stopping", retryAfterMillis);
        }
        if (running >= maxConcurrent) {
            throw RouterException.notRun(
                    ErrorCode.OVERLOADED, "this instance runs " + running + " requests already", retryAfterMillis);
        }
        running++;
    }

    /** Lets a request out. */
    public synchronized void release() {
        running--;
        completeIfIdle();
    }

    /**
     * Returns how many requests are running.
     *
     * @return the number
     */
    public synchronized int inFlight() {
        return running;
    }

    /**
     * Returns whether the gate is closed or about to be.
     *
     * @return whether the balancer should send no more requests
     */
    public synchronized boolean isClosing() {
        return closing;
    }

    /** Announces that the gate will be closed; requests are still let in. */
    public synchronized void announceClose() {
        closing = true;
    }

    /**
     * Closes the gate for good.
     *
     * @return a stage that completes when the last running request is out
     */
    public synchronized CompletionStage<Void> close() {
        closing = true;
        closed = true;
        completeIfIdle();
        return idleAfterClose;
    }

    private void completeIfIdle() {
        if (closed && running == 0) {
            idleAfterClose.complete(null);
        }
    }
}
