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
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::sequence));
    private double nowMillis;
    private long sequence;

    private record Event(double atMillis, long sequence, Runnable body) {}

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

    void at(double atMillis, Runnable body) {
        events.add(new Event(Math.max(nowMillis, atMillis), sequence++, body));
    }

    void after(double delayMillis, Runnable body) {
        at(nowMillis + delayMillis, body);
    }

    void every(double periodMillis, double endMillis, Runnable body) {
        after(periodMillis, () -> {
            body.run();
            if (nowMillis + periodMillis <= endMillis) {
                every(periodMillis, endMillis, body);
            }
        });
    }

    void run(double endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.body().run();
        }
        nowMillis = endMillis;
    }
}
