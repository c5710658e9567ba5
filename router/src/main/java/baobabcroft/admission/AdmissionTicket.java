package baobabcroft.admission;

/**
 * A request's place in an admission queue, whether it waits or runs.
 *
 * <p>Thread-safe through its queue. Closing it twice does no harm.
 */
public final class AdmissionTicket {
    /** Stages of a request. */
    enum Stage {
        WAITING,
        RUNNING,
        CLOSED
    }

    private final AdmissionQueue queue;
    private final AdmissionRequest request;
    private final PendingRequest attempt;
    private final long dueNanos;
    private Stage stage = Stage.WAITING;

    AdmissionTicket(AdmissionQueue queue, AdmissionRequest request, PendingRequest attempt, long dueNanos) {
        this.queue = queue;
        this.request = request;
        this.attempt = attempt;
        this.dueNanos = dueNanos;
    }

    /** Gives up the place: a waiting request is never started, a running one no longer counts for its account. */
    public void close() {
        queue.close(this);
    }

    AdmissionRequest request() {
        return request;
    }

    PendingRequest attempt() {
        return attempt;
    }

    /** Returns when the answer is due, by the monotonic clock. */
    long dueNanos() {
        return dueNanos;
    }

    Stage stage() {
        return stage;
    }

    void setStage(Stage newStage) {
        stage = newStage;
    }
}
