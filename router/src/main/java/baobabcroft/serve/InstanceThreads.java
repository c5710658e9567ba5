package baobabcroft.serve;

import baobabcroft.common.Scheduler;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** The timer threads of an instance; Pekko and Netty manage their own threads. */
final class InstanceThreads implements AutoCloseable {
    private static final int TIMER_THREADS = 2;

    private final ScheduledExecutorService timers;

    InstanceThreads() {
        this.timers = Executors.newScheduledThreadPool(
                TIMER_THREADS,
                new ThreadFactoryBuilder()
                        .setNameFormat("baobabcroft-timer-%d")
                        .setDaemon(true)
                        .build());
    }

    /** Returns a scheduler on the timer threads; tasks must be short and must not block. */
    Scheduler scheduler() {
        return Scheduler.onExecutor(timers);
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }
}
