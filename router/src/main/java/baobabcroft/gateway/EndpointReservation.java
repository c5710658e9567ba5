package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admission.ServiceTimeEstimate;
import baobabcroft.balance.EndpointLease;
import baobabcroft.balance.FailureKind;
import baobabcroft.common.StatedPause;
import baobabcroft.rules.EndpointRule;

/** Capacity reserved for a request on an endpoint. Thread-safe; only the first reported outcome takes effect. */
final class EndpointReservation {
    private final EndpointLease lease;
    private final Runnable leaveQueue;
    private final ServiceTimeEstimate estimate;
    private final Runnable onReleased;

    EndpointReservation(EndpointLease lease, Runnable leaveQueue, ServiceTimeEstimate estimate, Runnable onReleased) {
        this.lease = checkNotNull(lease);
        this.leaveQueue = checkNotNull(leaveQueue);
        this.estimate = checkNotNull(estimate);
        this.onReleased = checkNotNull(onReleased);
    }

    /** Returns the endpoint. */
    EndpointRule endpoint() {
        return lease.rule();
    }

    /** Releases the capacity after a complete response with the given latency and number of generated tokens. */
    void succeeded(long latencyMillis, long tokens) {
        if (tokens > 0) {
            estimate.recordAnswer(tokens, (double) latencyMillis);
        }
        release(lease.succeeded(latencyMillis));
    }

    /** Records that the endpoint wants no requests for some time. */
    void pause(StatedPause pause) {
        lease.pause(pause);
    }

    /** Releases the capacity after a failure. */
    void failed(FailureKind kind) {
        release(lease.failed(kind));
    }

    /** Releases the capacity without reporting an outcome for the endpoint. */
    void cancelled() {
        release(lease.cancelled());
    }

    private void release(boolean firstOutcome) {
        if (firstOutcome) {
            leaveQueue.run();
            onReleased.run();
        }
    }
}
