package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admission.ServiceEstimate;
import baobabcroft.balance.EndpointLease;
import baobabcroft.balance.FailureKind;
import baobabcroft.rules.EndpointRule;

/** Capacity reserved for a request on an endpoint. Thread-safe; only the first reported outcome takes effect. */
final class Room {
    private final EndpointLease lease;
    private final Runnable leave;
    private final ServiceEstimate estimate;
    private final Runnable freed;

    Room(EndpointLease lease, Runnable leave, ServiceEstimate estimate, Runnable freed) {
        this.lease = checkNotNull(lease);
        this.leave = checkNotNull(leave);
        this.estimate = checkNotNull(estimate);
        this.freed = checkNotNull(freed);
    }

    /** Returns the endpoint. */
    EndpointRule endpoint() {
        return lease.rule();
    }

    /** Releases the capacity after a complete response with the given latency and number of generated tokens. */
    void succeeded(long latencyMillis, long tokens) {
        if (tokens > 0) {
            estimate.answered(tokens, (double) latencyMillis);
        }
        end(lease.succeeded(latencyMillis));
    }

    /** Releases the capacity after a failure. */
    void failed(FailureKind kind) {
        end(lease.failed(kind));
    }

    /** Releases the capacity without reporting an outcome for the endpoint. */
    void cancelled() {
        end(lease.cancelled());
    }

    private void end(boolean first) {
        if (first) {
            leave.run();
            freed.run();
        }
    }
}
