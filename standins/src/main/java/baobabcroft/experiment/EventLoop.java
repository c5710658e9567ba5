package baobabcroft.experiment;

import com.google.common.base.Ticker;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock with an event queue: runs actions in the order of their time, and in the order of scheduling if their
 * times are equal. Not thread-safe.
 */
final class EventLoop {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis).thenComparingLong(Event::sequence));
    private double nowMillis;
    private long sequence;

    private record Event(double timeMillis, long sequence, Runnable action) {}

    double nowMillis() {
        return nowMillis;
    }

    long epochMillis() {
        return START_EPOCH_MILLIS + (long) nowMillis;
    }

    Ticker ticker() {
        return new Ticker() {
            @Override
            public long read() {
                return (long) (nowMillis * NANOS_PER_MILLI);
            }
        };
    }

    void scheduleAt(double timeMillis, Runnable action) {
        events.add(new Event(Math.max(nowMillis, timeMillis), sequence++, action));
    }

    void scheduleAfter(double delayMillis, Runnable action) {
        scheduleAt(nowMillis + delayMillis, action);
    }

    void scheduleEvery(double periodMillis, double endMillis, Runnable action) {
        scheduleAfter(periodMillis, () -> {
            action.run();
            if (nowMillis + periodMillis <= endMillis) {
                scheduleEvery(periodMillis, endMillis, action);
            }
        });
    }

    void runUntil(double endMillis) {
        while (!events.isEmpty() && events.peek().timeMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.timeMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }
}
