package baobabcroft.slot;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A submitted transition that is not committed yet. Confined to the sequential executor of its committer. */
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

    /** Records that a write of this transition was sent and may have taken effect. */
    void markSent() {
        sent = true;
    }

    /** Returns the transition that reverts this one, or empty if no write was sent or none was given. */
    Optional<Transition<?>> undoIfSent() {
        return sent ? undo : Optional.empty();
    }

    void commit(T result) {
        future.complete(new CommitResult.Committed<>(result));
    }

    /** Completes the future exceptionally because the data of the slot are corrupt. */
    void fail(IllegalStateException cause) {
        future.completeExceptionally(cause);
    }

    void reject(long retryAfterMillis) {
        future.complete(new CommitResult.Unavailable<>(retryAfterMillis));
    }
}
