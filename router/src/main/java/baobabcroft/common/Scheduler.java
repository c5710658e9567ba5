package baobabcroft.common;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Runs tasks after a delay. Code that waits takes a scheduler as a parameter, so that tests can use virtual time. */
@FunctionalInterface
public interface Scheduler {
    /**
     * Schedules a task to run once after a delay.
     *
     * @param delayMillis the delay in milliseconds; zero runs it as soon as possible
     * @param task the task to run
     * @return a handle that cancels the task as long as it has not started
     */
    Cancellable schedule(long delayMillis, Runnable task);

    /** Handle of a scheduled task. */
    @FunctionalInterface
    interface Cancellable {
        /** Cancels the task if it has not started; otherwise does nothing. */
        void cancel();
    }

    /**
     * Returns a thread-safe scheduler that runs its tasks on an executor.
     *
     * @param executor runs the tasks; stays owned by the caller
     * @return the scheduler
     */
    static Scheduler onExecutor(ScheduledExecutorService executor) {
        checkNotNull(executor);
        return (delayMillis, task) -> {
            ScheduledFuture<?> future = executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
            return () -> future.cancel(false);
        };
    }

    /**
     * Returns a scheduler that runs tasks only at multiples of a period of the clock, so that tasks that are due
     * shortly after one another run together: to wake a thread up costs more than most tasks.
     *
     * @param scheduler runs the tasks
     * @param nowMillis monotonic clock, in milliseconds
     * @param periodMillis the period, in milliseconds; a task runs up to this much later than its delay says
     * @return the scheduler
     */
    static Scheduler aligned(Scheduler scheduler, LongSupplier nowMillis, long periodMillis) {
        checkNotNull(scheduler);
        checkArgument(periodMillis > 0, "periodMillis not positive: %s", periodMillis);
        return (delayMillis, task) -> {
            long now = nowMillis.getAsLong();
            long periods = Math.floorDiv(now + delayMillis + periodMillis - 1, periodMillis);
            return scheduler.schedule(periods * periodMillis - now, task);
        };
    }
}
