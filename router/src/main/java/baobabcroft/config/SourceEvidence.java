package baobabcroft.config;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Evidence from one source, the store or a peer: the send time of the latest request that returned each of its latest
 * numbers. Not thread-safe.
 */
final class SourceEvidence {
    private static final int MAX_NUMBERS = 4;

    private final TreeMap<Long, Long> sentNanosByNumber = new TreeMap<>();

    void add(long sentNanos, long number) {
        sentNanosByNumber.merge(number, sentNanos, Math::max);
        if (sentNanosByNumber.size() > MAX_NUMBERS) {
            sentNanosByNumber.pollFirstEntry();
        }
    }

    /** Returns the send time of the latest request that returned the given number or a smaller one. */
    OptionalLong sentNanos(long highestNumber) {
        return sentNanosByNumber.headMap(highestNumber, true).entrySet().stream()
                .mapToLong(Map.Entry::getValue)
                .max();
    }
}
