package baobabcroft.serve;

import baobabcroft.common.Scheduler;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** The threads of an instance beside Pekko's and Netty's. */
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

    /** Returns a scheduler for short tasks that do not block. */
    Scheduler scheduler() {
        return Scheduler.over(timers);
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }
}
