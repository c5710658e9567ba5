package baobabcroft.config;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** When one party was last asked and showed a number, for each of its latest numbers. Not thread-safe. */
final class EvidenceSlot {
    private static final int MAX_NUMBERS = 4;

    private final TreeMap<Long, Long> sentNanosByNumber = new TreeMap<>();

    void add(long sentNanos, long number) {
        sentNanosByNumber.merge(number, sentNanos, Math::max);
        if (sentNanosByNumber.size() > MAX_NUMBERS) {
            sentNanosByNumber.pollFirstEntry();
        }
    }

    /** Returns when the latest question was sent whose answer showed no number above the given one. */
    OptionalLong sentNanos(long highestNumber) {
        return sentNanosByNumber.headMap(highestNumber, true).entrySet().stream()
                .mapToLong(Map.Entry::getValue)
                .max();
    }
}
