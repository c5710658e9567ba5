package baobabcroft.fake;

import baobabcroft.common.Scheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A process in virtual time that can be frozen, thawed and killed. Not thread-safe. */
public final class FakeProcess {
    private final VirtualTime time;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean frozen;
    private boolean killed;

    /** Creates a running process. */
    public FakeProcess(VirtualTime time) {
        this.time = time;
    }

    /** Runs a task of the process now, on thawing if it is frozen, or never if it was killed. */
    public void run(Runnable task) {
        if (killed) {
            return;
        }
        if (frozen) {
            deferred.add(task);
            return;
        }
        task.run();
    }

    /** Returns the process's scheduler. */
    public Scheduler scheduler() {
        return (delayMillis, task) -> time.scheduler().schedule(delayMillis, () -> run(task));
    }

    /** Returns a stage that completes inside the process, so not while it is frozen. */
    public <T> CompletionStage<T> deliver(CompletionStage<T> stage) {
        CompletableFuture<T> delivered = new CompletableFuture<>();
        stage.thenAccept(value -> run(() -> delivered.complete(value)));
        return delivered;
    }

    /** Stops the process until it is thawed. */
    public void freeze() {
        frozen = true;
    }

    /** Runs what came due while frozen, and goes on. */
    public void thaw() {
        frozen = false;
        List<Runnable> due = List.copyOf(deferred);
        deferred.clear();
        due.forEach(this::run);
    }

    /** Ends the process for good. */
    public void kill() {
        killed = true;
        deferred.clear();
    }

    /** Returns whether the process is running: neither frozen nor killed. */
    public boolean isRunning() {
        return !frozen && !killed;
    }

    /** Returns whether the process was killed. */
    public boolean isKilled() {
        return killed;
    }
}
