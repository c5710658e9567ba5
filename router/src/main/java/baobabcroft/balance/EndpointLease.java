package baobabcroft.balance;

import baobabcroft.common.StatedPause;
import baobabcroft.rules.EndpointRule;
import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Capacity for one request on one endpoint, held until the outcome of the request is reported.
 *
 * <p>Thread-safe. Only the first reported outcome counts; later calls return false and have no effect.
 */
public final class EndpointLease {
    private final Endpoint endpoint;
    private final Candidate candidate;
    private final Ticker ticker;
    private final AtomicBoolean ended = new AtomicBoolean();

    EndpointLease(Endpoint endpoint, Candidate candidate, Ticker ticker) {
        this.endpoint = endpoint;
        this.candidate = candidate;
        this.ticker = ticker;
    }

    /**
     * Returns the configuration of the endpoint.
     *
     * @return the rule as of the time when the endpoint was chosen
     */
    public EndpointRule rule() {
        return candidate.rule();
    }

    /**
     * Returns the distance of the endpoint from this instance.
     *
     * @return the locality as of the time when the endpoint was chosen
     */
    public Locality locality() {
        return candidate.locality();
    }

    /**
     * Ends the lease after a complete answer.
     *
     * @param latencyMillis time from the send to the end of the answer, in milliseconds
     * @return whether this was the first reported outcome
     */
    public boolean succeeded(long latencyMillis) {
        return end(() -> endpoint.succeeded(latencyMillis, ticker.read()));
    }

    /**
     * Records that the endpoint wants no requests for some time. The lease goes on.
     *
     * @param pause the time that it stated
     */
    public void pause(StatedPause pause) {
        endpoint.pause(pause, ticker.read());
    }

    /**
     * Ends the lease after a failure.
     *
     * @param kind how the call failed
     * @return whether this was the first reported outcome
     */
    public boolean failed(FailureKind kind) {
        return end(() -> endpoint.failed(kind, ticker.read()));
    }

    /**
     * Ends the lease without effect on the health of the endpoint, for example when the caller disconnects.
     *
     * @return whether this was the first reported outcome
     */
    public boolean cancelled() {
        return end(endpoint::cancelled);
    }

    private boolean end(Runnable outcome) {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        outcome.run();
        return true;
    }
}
