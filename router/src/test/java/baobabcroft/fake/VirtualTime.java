package baobabcroft.fake;

import baobabcroft.common.Scheduler;
import com.google.common.base.Ticker;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Clock and scheduler of a test: time moves only when the test says so, and tasks run on the test's thread. */
public final class VirtualTime {
    private static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.<Task>comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
    private long nowMillis;
    private long sequence;

    private record Task(long atMillis, long sequence, Runnable body) {}

    /** Returns the scheduler. */
    public Scheduler scheduler() {
        return (delayMillis, body) -> {
            Task task = new Task(nowMillis + Math.max(0, delayMillis), sequence++, body);
            tasks.add(task);
            return () -> tasks.remove(task);
        };
    }

    /** Returns the monotonic clock. */
    public Ticker ticker() {
        return new Ticker() {
            @Override
            public long read() {
                return TimeUnit.MILLISECONDS.toNanos(nowMillis);
            }
        };
    }

    /** Returns the wall clock. */
    public InstantSource wallClock() {
        return () -> Instant.ofEpochMilli(START_EPOCH_MILLIS + nowMillis);
    }

    /** Returns the milliseconds since the start of the test. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Runs all tasks due within the given time, in order, and moves the clock to its end. */
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
