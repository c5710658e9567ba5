package baobabcroft.fake;

import baobabcroft.common.Scheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Simulated process in virtual time that a test can freeze, thaw and kill. Not thread-safe. */
public final class FakeProcess {
    private final VirtualTime time;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean frozen;
    private boolean killed;

    /** Creates a running process. */
    public FakeProcess(VirtualTime time) {
        this.time = time;
    }

    /** Runs a task immediately, or after {@link #thaw} if the process is frozen. Drops it if the process was killed. */
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

    /** Returns a scheduler whose tasks run through {@link #run}. */
    public Scheduler scheduler() {
        return (delayMillis, task) -> time.scheduler().schedule(delayMillis, () -> run(task));
    }

    /** Returns a stage that follows the given one, but does not complete while the process is frozen or killed. */
    public <T> CompletionStage<T> deliver(CompletionStage<T> stage) {
        CompletableFuture<T> delivered = new CompletableFuture<>();
        stage.thenAccept(value -> run(() -> delivered.complete(value)));
        return delivered;
    }

    /** Suspends the process; tasks are deferred until {@link #thaw}. */
    public void freeze() {
        frozen = true;
    }

    /** Resumes the process and runs the deferred tasks. */
    public void thaw() {
        frozen = false;
        List<Runnable> due = List.copyOf(deferred);
        deferred.clear();
        due.forEach(this::run);
    }

    /** Ends the process permanently and drops its deferred tasks. */
    public void kill() {
        killed = true;
        deferred.clear();
    }

    /** Returns whether the process is neither frozen nor killed. */
    public boolean isRunning() {
        return !frozen && !killed;
    }

    /** Returns whether the process was killed. */
    public boolean isKilled() {
        return killed;
    }
}
