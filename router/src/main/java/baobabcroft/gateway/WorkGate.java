package baobabcroft.gateway;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Limits and counts the requests in progress on an instance, and rejects new ones once it is closed for shutdown.
 *
 * <p>Thread-safe. Each successful call of {@link #enter} must be followed by one call of {@link #exit}.
 */
public final class WorkGate {
    private final int maxConcurrent;
    private final CompletableFuture<Void> idleAfterClose = new CompletableFuture<>();
    private int running;
    private boolean closing;
    private boolean closed;

    private WorkGate(int maxConcurrent) {
        this.maxConcurrent = maxConcurrent;
    }

    /**
     * Returns a limiter that accepts requests.
     *
     * @param maxConcurrent maximum number of concurrent requests
     * @return the limiter
     */
    public static WorkGate create(int maxConcurrent) {
        return new WorkGate(maxConcurrent);
    }

    /**
     * Starts a request.
     *
     * @param retryAfterMillis retry delay reported if the request is rejected, in milliseconds
     * @throws RouterException with {@code draining} or {@code overloaded} and execution status "not run"
     */
    public synchronized void enter(long retryAfterMillis) {
        if (closed) {
            throw RouterException.notRun(ErrorCode.DRAINING, "this instance is shutting down", retryAfterMillis);
        }
        if (running >= maxConcurrent) {
            throw RouterException.notRun(
                    ErrorCode.OVERLOADED,
                    "this instance has reached its limit of " + running + " concurrent requests",
                    retryAfterMillis);
        }
        running++;
    }

    /** Ends a request. */
    public synchronized void exit() {
        running--;
        completeIfIdle();
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of requests
     */
    public synchronized int running() {
        return running;
    }

    /**
     * Returns whether shutdown has been announced or has started.
     *
     * @return whether the load balancer should stop sending requests to this instance
     */
    public synchronized boolean isClosing() {
        return closing;
    }

    /** Announces the shutdown. The readiness probe fails from now on, but requests are still accepted. */
    public synchronized void announceClose() {
        closing = true;
    }

    /**
     * Rejects all further requests. Cannot be undone.
     *
     * @return a stage that completes when the last request in progress has ended
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
