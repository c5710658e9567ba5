package baobabcroft.balance;

import baobabcroft.rules.EndpointRule;
import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Room for one request on one endpoint, held until its outcome is told.
 *
 * <p>Thread-safe. Only the first outcome counts; later ones return false and change nothing.
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
     * Returns the endpoint.
     *
     * @return its rule when it was chosen
     */
    public EndpointRule rule() {
        return candidate.rule();
    }

    /**
     * Returns how far the endpoint stands.
     *
     * @return the locality when it was chosen
     */
    public Locality locality() {
        return candidate.locality();
    }

    /**
     * Ends the lease after a whole answer.
     *
     * @param latencyMillis time from the send to the end of the answer, in milliseconds
     * @return whether this was the first outcome
     */
    public boolean succeeded(long latencyMillis) {
        return end(() -> endpoint.succeeded(latencyMillis, ticker.read()));
    }

    /**
     * Ends the lease after a failure.
     *
     * @param kind how the call failed
     * @return whether this was the first outcome
     */
    public boolean failed(FailureKind kind) {
        return end(() -> endpoint.failed(kind, ticker.read()));
    }

    /**
     * Ends the lease without a judgement on the endpoint, for example when the caller went away.
     *
     * @return whether this was the first outcome
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
