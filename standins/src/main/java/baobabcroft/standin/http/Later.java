package baobabcroft.standin.http;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Delays of the stand-ins, on threads of their own. Thread-safe. */
public final class Later {
    private static final int THREADS = 2;
    private static final ScheduledThreadPoolExecutor EXECUTOR = executor();

    private Later() {}

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
     * @param task the task
     */
    public static void run(long millis, Runnable task) {
        var unused = EXECUTOR.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task after a delay that may be shorter than a millisecond.
     *
     * @param micros the delay, in microseconds
     * @param task the task
     * @return a handle that cancels it
     */
    public static Future<?> runMicros(long micros, Runnable task) {
        return EXECUTOR.schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    /**
     * Runs a task again and again until it returns false.
     *
     * @param periodMillis the delay between two runs, in milliseconds
     * @param task the task
     */
    public static void repeat(long periodMillis, Supplier<Boolean> task) {
        run(periodMillis, () -> {
            if (task.get()) {
                repeat(periodMillis, task);
            }
        });
    }

    /**
     * Computes a value after a delay; without a delay at once.
     *
     * @param millis the delay, in milliseconds
     * @param value the value
     * @param <T> the value's type
     * @return the value to come
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
