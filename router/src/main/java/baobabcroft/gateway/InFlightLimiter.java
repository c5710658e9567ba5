package baobabcroft.gateway;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Limits and counts the requests in progress on an instance, and rejects new ones once it is closed for shutdown.
 *
 * <p>Thread-safe. Each successful call of {@link #acquire} must be followed by one call of {@link #release}.
 */
public final class InFlightLimiter {
    private final int maxInFlight;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int inFlight;
    private boolean closing;
    private boolean closed;

    private InFlightLimiter(int maxInFlight) {
        this.maxInFlight = maxInFlight;
    }

    /**
     * Returns a limiter that accepts requests.
     *
     * @param maxInFlight maximum number of concurrent requests
     * @return the limiter
     */
    public static InFlightLimiter create(int maxInFlight) {
        return new InFlightLimiter(maxInFlight);
    }

    /**
     * Starts a request.
     *
     * @param retryAfterMillis retry delay reported if the request is rejected, in milliseconds
     * @throws RouterException with {@code draining} or {@code overloaded} and execution status "not run"
     */
    public synchronized void acquire(long retryAfterMillis) {
        if (closed) {
            throw RouterException.notRun(ErrorCode.DRAINING, "this instance is shutting down", retryAfterMillis);
        }
        if (inFlight >= maxInFlight) {
            throw RouterException.notRun(
                    ErrorCode.OVERLOADED,
                    "this instance has reached its limit of " + inFlight + " concurrent requests",
                    retryAfterMillis);
        }
        inFlight++;
    }

    /** Ends a request. */
    public synchronized void release() {
        inFlight--;
        completeIfDrained();
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number of requests
     */
    public synchronized int inFlight() {
        return inFlight;
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
        completeIfDrained();
        return drained;
    }

    private void completeIfDrained() {
        if (closed && inFlight == 0) {
            drained.complete(null);
        }
    }
}
