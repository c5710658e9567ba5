package baobabcroft.admission;

/**
 * Registration of one request, waiting or running, in an {@link AdmissionQueue}.
 *
 * <p>{@link #close} is thread-safe and idempotent. All other state is guarded by the lock of the queue.
 */
public final class AdmissionTicket {
    /** State of the request in the queue. */
    enum Stage {
        WAITING,
        RUNNING,
        CLOSED
    }

    private final AdmissionQueue queue;
    private final AdmissionRequest request;
    private final PendingRequest pending;
    private final long deadlineNanos;
    private Stage stage = Stage.WAITING;

    AdmissionTicket(AdmissionQueue queue, AdmissionRequest request, PendingRequest pending, long deadlineNanos) {
        this.queue = queue;
        this.request = request;
        this.pending = pending;
        this.deadlineNanos = deadlineNanos;
    }

    /** Removes the request from the queue, so that it is never started or no longer counts as running. */
    public void close() {
        queue.close(this);
    }

    AdmissionRequest request() {
        return request;
    }

    PendingRequest pending() {
        return pending;
    }

    /** Returns the deadline of the request, by the monotonic clock. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    Stage stage() {
        return stage;
    }

    void setStage(Stage newStage) {
        stage = newStage;
    }
}
