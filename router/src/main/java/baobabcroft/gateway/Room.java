package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admission.ServiceTimeEstimate;
import baobabcroft.balance.EndpointLease;
import baobabcroft.balance.FailureKind;
import baobabcroft.rules.EndpointRule;

/** A request's place on an endpoint and in the admission queue. Thread-safe; only the first outcome counts. */
final class Room {
    private final EndpointLease lease;
    private final Runnable leave;
    private final ServiceTimeEstimate estimate;
    private final Runnable freed;

    Room(EndpointLease lease, Runnable leave, ServiceTimeEstimate estimate, Runnable freed) {
        this.lease = checkNotNull(lease);
        this.leave = checkNotNull(leave);
        this.estimate = checkNotNull(estimate);
        this.freed = checkNotNull(freed);
    }

    /** Returns the endpoint. */
    EndpointRule endpoint() {
        return lease.rule();
    }

    /** Ends the place after a whole answer that took the given time and has the given generated tokens. */
    void succeeded(long latencyMillis, long tokens) {
        if (tokens > 0) {
            estimate.recordAnswer(tokens, (double) latencyMillis);
        }
        end(lease.succeeded(latencyMillis));
    }

    /** Ends the place after a failure. */
    void failed(FailureKind kind) {
        end(lease.failed(kind));
    }

    /** Ends the place without a judgement on the endpoint. */
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
