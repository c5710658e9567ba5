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
 * The numbers that instances have confirmed, from which it follows whether a change is accepted.
 *
 * <p>A change is accepted if a quorum of instances had applied it at the same time, each in an incarnation that has had
 * authority, and all evidence from before that time has expired since. An instance had a change applied at a given time
 * if the same incarnation confirmed it before that time and responded to a heartbeat that was sent after it. Times are
 * passed in. Not thread-safe.
 */
public final class Confirmations {
    private static final int MAX_NUMBERS = 16;

    private final Map<String, Confirmation> byInstance = new HashMap<>();

    /** Numbers that one incarnation of an instance has confirmed. */
    private static final class Confirmation {
        private final long incarnation;
        private final TreeMap<Long, Long> arrivedNanosByNumber = new TreeMap<>();
        private long askedNanos = Long.MIN_VALUE;

        Confirmation(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /** Time span in which an incarnation is certain to have had a number applied. */
    private record Span(long fromNanos, long untilNanos) {
        boolean contains(long nanos) {
            return fromNanos <= nanos && nanos <= untilNanos;
        }
    }

    /**
     * State of a change.
     *
     * @param accepted whether no instance accepts new work under an earlier configuration any more
     * @param confirmed the members that have confirmed it
     * @param missing the members that have not confirmed it
     */
    public record Progress(boolean accepted, Set<String> confirmed, Set<String> missing) {
        /** Copies the sets. */
        public Progress {
            confirmed = ImmutableSet.copyOf(confirmed);
            missing = ImmutableSet.copyOf(missing);
        }
    }

    /**
     * Records a heartbeat response from an incarnation that has had authority.
     *
     * @param instance name of the instance
     * @param incarnation its incarnation
     * @param number number that it has applied
     * @param sentNanos time at which the heartbeat was sent, in nanoseconds
     * @param arrivedNanos time at which the response arrived, in nanoseconds
     */
    public void recordResponse(String instance, long incarnation, long number, long sentNanos, long arrivedNanos) {
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
     * @param number document number of the change; a confirmation of a greater number counts too
     * @param quorum the members, and how many of them must have confirmed it
     * @param waitNanos time that must have passed since the quorum confirmed, in nanoseconds
     * @param nowNanos monotonic time, in nanoseconds
     * @return the state
     */
    public Progress progress(long number, Quorum quorum, long waitNanos, long nowNanos) {
        Map<String, Span> spans = new HashMap<>();
        quorum.members().forEach(member -> addSpan(spans, member, number));
        boolean accepted = false;
        for (Span candidate : spans.values()) {
            long momentNanos = candidate.fromNanos();
            accepted |= nowNanos - momentNanos >= waitNanos && countAt(spans, momentNanos) >= quorum.size();
        }
        return new Progress(accepted, spans.keySet(), Sets.difference(quorum.members(), spans.keySet()));
    }

    private static long countAt(Map<String, Span> spans, long momentNanos) {
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
