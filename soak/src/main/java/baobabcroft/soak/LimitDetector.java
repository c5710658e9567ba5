package baobabcroft.soak;

import com.google.common.collect.ImmutableListMultimap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/** Finds endpoints that got more requests than the limits that they had named. */
final class LimitDetector {
    private static final long WINDOW_MILLIS = 4_000;
    private static final double ALLOWED_RATIO = 1.5;
    private static final int ALLOWED_EXTRA = 5;
    private static final long KNOWN_AFTER_MILLIS = 500;

    private final History history;
    private final ImmutableListMultimap<Arrival.Subject, Arrival> bySubject;
    private final List<String> broken = new ArrayList<>();
    private long tried;

    LimitDetector(History history, ImmutableListMultimap<Arrival.Subject, Arrival> bySubject) {
        this.history = history;
        this.bySubject = bySubject;
    }

    /** A time in which an endpoint named one limit, and when each instance was told. */
    private record Limited(double perSecond, long fromMillis, long untilMillis, Map<Integer, Long> toldMillis) {}

    Verdict verdict() {
        for (Arrival.Subject subject : bySubject.keySet()) {
            limits(bySubject.get(subject)).forEach(limited -> check(subject, limited));
        }
        return Oracle.verdict(Promise.LIMIT, tried, broken);
    }

    private static List<Limited> limits(List<Arrival> arrivals) {
        List<Limited> limits = new ArrayList<>();
        List<Arrival> answered = arrivals.stream()
                .filter(arrival -> arrival.answeredMillis().isPresent()
                        && arrival.statement().isPresent())
                .sorted(Comparator.comparingLong(
                        arrival -> arrival.answeredMillis().getAsLong()))
                .toList();
        OptionalDouble current = OptionalDouble.empty();
        long fromMillis = 0;
        Map<Integer, Long> told = new HashMap<>();
        for (Arrival arrival : answered) {
            OptionalDouble stated = arrival.statement().get().limitPerSecond();
            long atMillis = arrival.answeredMillis().getAsLong();
            if (!stated.equals(current)) {
                if (current.isPresent()) {
                    limits.add(new Limited(current.getAsDouble(), fromMillis, atMillis, Map.copyOf(told)));
                }
                told.clear();
                current = stated;
                fromMillis = atMillis;
            }
            told.putIfAbsent(arrival.instance(), atMillis);
        }
        if (current.isPresent()) {
            limits.add(new Limited(current.getAsDouble(), fromMillis, Long.MAX_VALUE, Map.copyOf(told)));
        }
        return limits;
    }

    private void check(Arrival.Subject subject, Limited limited) {
        double allowed = ALLOWED_RATIO * limited.perSecond() * WINDOW_MILLIS / 1_000 + ALLOWED_EXTRA;
        Deque<Long> window = new ArrayDeque<>();
        long most = 0;
        List<Long> counted = bySubject.get(subject).stream()
                .filter(arrival -> arrival.atMillis() >= limited.fromMillis() + Oracle.CONTACT_MILLIS
                        && arrival.atMillis() < limited.untilMillis())
                .filter(arrival -> isTold(arrival, limited))
                .map(Arrival::atMillis)
                .sorted()
                .toList();
        for (long atMillis : counted) {
            window.add(atMillis);
            while (atMillis - window.peek() >= WINDOW_MILLIS) {
                window.poll();
            }
            most = Math.max(most, window.size());
        }
        tried += counted.isEmpty() ? 0 : 1;
        if (most > allowed) {
            broken.add(subject + " with a limit of " + limited.perSecond() + "/s got " + most + " in 4 s, allowed "
                    + allowed + ", from " + limited.fromMillis() + " ms on");
        }
    }

    private boolean isTold(Arrival arrival, Limited limited) {
        Long told = limited.toldMillis().get(arrival.instance());
        return told != null
                && told + KNOWN_AFTER_MILLIS <= arrival.atMillis()
                && !history.wasDisturbed(arrival.instance(), told, arrival.atMillis());
    }
}
