package baobabcroft.fake;

import baobabcroft.common.Scheduler;
import com.google.common.base.Ticker;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Clock and scheduler for tests. Time passes only in {@link #advance}, and tasks run on the thread that calls it. */
public final class VirtualTime {
    private static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.<Task>comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
    private long nowMillis;
    private long sequence;

    private record Task(long atMillis, long sequence, Runnable body) {}

    /** Returns a scheduler that runs its tasks in virtual time. */
    public Scheduler scheduler() {
        return (delayMillis, body) -> {
            Task task = new Task(nowMillis + Math.max(0, delayMillis), sequence++, body);
            tasks.add(task);
            return () -> tasks.remove(task);
        };
    }

    /** Returns a monotonic clock that shows the virtual time. */
    public Ticker ticker() {
        return new Ticker() {
            @Override
            public long read() {
                return TimeUnit.MILLISECONDS.toNanos(nowMillis);
            }
        };
    }

    /** Returns a wall clock that shows the virtual time, starting at a fixed date. */
    public InstantSource wallClock() {
        return () -> Instant.ofEpochMilli(START_EPOCH_MILLIS + nowMillis);
    }

    /** Returns the virtual time since the start of the test, in milliseconds. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Advances the clock by the given time, running the tasks that become due in order of their time. */
    public void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = Math.max(nowMillis, task.atMillis());
            task.body().run();
        }
        nowMillis = endMillis;
    }
}
