package baobabcroft.common;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks later. Passed in wherever code waits, so that tests run in virtual time. */
@FunctionalInterface
public interface Scheduler {
    /**
     * Runs a task once after a delay.
     *
     * @param delayMillis the delay in milliseconds; zero runs it as soon as possible
     * @param task the task
     * @return a handle that cancels the task if it has not started
     */
    Cancellable schedule(long delayMillis, Runnable task);

    /** Cancels a scheduled task. */
    @FunctionalInterface
    interface Cancellable {
        /** Cancels the task if it has not started; otherwise does nothing. */
        void cancel();
    }

    /**
     * Returns a scheduler that runs its tasks on an executor.
     *
     * @param executor runs the tasks
     * @return the scheduler, thread-safe
     */
    static Scheduler over(ScheduledExecutorService executor) {
        checkNotNull(executor);
        return (delayMillis, task) -> {
            ScheduledFuture<?> future = executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        };
    }
}
