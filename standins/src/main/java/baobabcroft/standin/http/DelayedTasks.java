package baobabcroft.standin.http;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Delayed and periodic tasks of the stand-ins, run on a dedicated daemon thread pool. Thread-safe. */
public final class DelayedTasks {
    private static final int THREADS = 2;
    private static final ScheduledThreadPoolExecutor EXECUTOR = executor();

    private DelayedTasks() {}

    private static ScheduledThreadPoolExecutor executor() {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(
                THREADS,
                new ThreadFactoryBuilder()
                        .setNameFormat("standin-delay-%d")
                        .setDaemon(true)
                        .build());
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }

    /**
     * Runs a task after a delay.
     *
     * @param millis the delay, in milliseconds
     * @param task the task; a blocking task delays others, as the pool has two threads
     */
    public static void run(long millis, Runnable task) {
        var unused = EXECUTOR.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task after a delay given in microseconds.
     *
     * @param micros the delay, in microseconds
     * @param task the task
     * @return a future that cancels the task
     */
    public static Future<?> runMicros(long micros, Runnable task) {
        return EXECUTOR.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    /**
     * Runs a task periodically until it returns false.
     *
     * @param periodMillis the delay before each run, in milliseconds
     * @param task the task; returns whether to run again
     */
    public static void repeat(long periodMillis, Supplier<Boolean> task) {
        run(periodMillis, () -> {
            if (task.get()) {
                repeat(periodMillis, task);
            }
        });
    }

    /**
     * Computes a value after a delay, or synchronously if the delay is not positive.
     *
     * @param millis the delay, in milliseconds
     * @param value computes the value
     * @param <T> the value's type
     * @return a stage that completes with the value, or fails if a delayed computation throws
     */
    public static <T> CompletionStage<T> supply(long millis, Supplier<T> value) {
        if (millis <= 0) {
            return CompletableFuture.completedFuture(value.get());
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        run(millis, () -> {
            try {
                result.complete(value.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }
}
