package baobabcroft.slot;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A submitted transition that waits for its commit. Used by its committer's sequential executor only. */
final class PendingTransition<T> {
    private final Transition<T> transition;
    private final Optional<Transition<?>> undo;
    private final CompletableFuture<CommitResult<T>> future = new CompletableFuture<>();
    private boolean sent;

    PendingTransition(Transition<T> transition, Optional<Transition<?>> undo) {
        this.transition = transition;
        this.undo = undo;
    }

    CompletableFuture<CommitResult<T>> future() {
        return future;
    }

    boolean isDone() {
        return future.isDone();
    }

    Decision<T> decide(SlotView view, long nowEpochMillis) {
        return transition.apply(view, nowEpochMillis);
    }

    /** Notes that a write of this transition was sent, so that it may have taken effect. */
    void markSent() {
        sent = true;
    }

    /** Returns the transition that takes back what this one may have written. */
    Optional<Transition<?>> undoIfSent() {
        return sent ? undo : Optional.empty();
    }

    void commit(T result) {
        future.complete(new CommitResult.Committed<>(result));
    }

    /** Ends the transition because the slot's data are damaged. */
    void fail(IllegalStateException cause) {
        future.completeExceptionally(cause);
    }

    void refuse(long retryAfterMillis) {
        future.complete(new CommitResult.Unavailable<>(retryAfterMillis));
    }
}
