package baobabcroft.config;

import baobabcroft.membership.Quorum;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Which instances have confirmed which numbers, and whether a change is accepted.
 *
 * <p>A change is accepted when, at one moment, a quorum had it applied, each in a start that has had authority, and
 * enough time has passed since then for all older evidence to lapse. That an instance had it at that moment is known
 * when the same start confirmed it before and answered a heartbeat sent after. Times are passed in. Not thread-safe.
 */
public final class Confirmations {
    private static final int MAX_NUMBERS = 16;

    private final Map<String, Confirmation> byInstance = new HashMap<>();

    /** What one start of an instance has confirmed. */
    private static final class Confirmation {
        private final long incarnation;
        private final TreeMap<Long, Long> arrivedNanosByNumber = new TreeMap<>();
        private long askedNanos = Long.MIN_VALUE;

        Confirmation(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /** Time during which one start of an instance certainly had a number applied. */
    private record Span(long fromNanos, long untilNanos) {
        boolean contains(long nanos) {
            return fromNanos <= nanos && nanos <= untilNanos;
        }
    }

    /**
     * State of a change.
     *
     * @param accepted whether it is in force everywhere, for good
     * @param confirmed the members that have it applied
     * @param missing the members that were not heard to have it
     */
    public record Progress(boolean accepted, Set<String> confirmed, Set<String> missing) {
        /** Copies the sets. */
        public Progress {
            confirmed = ImmutableSet.copyOf(confirmed);
            missing = ImmutableSet.copyOf(missing);
        }
    }

    /**
     * Notes an answer of a start that has had authority.
     *
     * @param instance who answered
     * @param incarnation which start of it
     * @param number what it has applied
     * @param sentNanos when it was asked
     * @param arrivedNanos when the answer came
     */
    public void answered(String instance, long incarnation, long number, long sentNanos, long arrivedNanos) {
        Confirmation known = byInstance.get(instance);
        if (known == null || known.incarnation != incarnation) {
            known = new Confirmation(incarnation);
            byInstance.put(instance, known);
        }
        known.arrivedNanosByNumber.putIfAbsent(number, arrivedNanos);
        known.askedNanos = Math.max(known.askedNanos, sentNanos);
        if (known.arrivedNanosByNumber.size() > MAX_NUMBERS) {
            known.arrivedNanosByNumber.pollFirstEntry();
        }
    }

    /**
     * Returns the state of a change.
     *
     * @param number the change's number; greater ones contain it
     * @param quorum who must have confirmed it
     * @param waitNanos how long that must be ago
     * @param nowNanos the monotonic clock
     * @return the state
     */
    public Progress progress(long number, Quorum quorum, long waitNanos, long nowNanos) {
        Map<String, Span> spans = new HashMap<>();
        quorum.members().forEach(member -> addSpan(spans, member, number));
        boolean accepted = false;
        for (Span candidate : spans.values()) {
            long momentNanos = candidate.fromNanos();
            accepted |= nowNanos - momentNanos >= waitNanos && holdAt(spans, momentNanos) >= quorum.size();
        }
        return new Progress(accepted, spans.keySet(), Sets.difference(quorum.members(), spans.keySet()));
    }

    private static long holdAt(Map<String, Span> spans, long momentNanos) {
        return spans.values().stream()
                .filter(span -> span.contains(momentNanos))
                .count();
    }

    private void addSpan(Map<String, Span> spans, String member, long number) {
        Confirmation known = byInstance.get(member);
        if (known == null) {
            return;
        }
        List<Long> arrivals =
                new ArrayList<>(known.arrivedNanosByNumber.tailMap(number, true).values());
        if (!arrivals.isEmpty()) {
            long fromNanos = arrivals.stream().mapToLong(Long::longValue).min().getAsLong();
            spans.put(member, new Span(fromNanos, known.askedNanos));
        }
    }
}
