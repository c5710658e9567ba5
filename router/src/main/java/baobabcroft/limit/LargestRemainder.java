package baobabcroft.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Apportions an integer by the largest remainder method. */
final class LargestRemainder {
    private LargestRemainder() {}

    /** Returns integer shares that add up to the total; ties of remainders are broken by name. */
    static Map<String, Long> apportion(long total, Map<String, Double> fractions) {
        Map<String, Long> parts = new TreeMap<>();
        fractions.forEach((name, fraction) -> parts.put(name, (long) Math.floor(total * fraction)));
        long left = total - parts.values().stream().mapToLong(Long::longValue).sum();
        List<String> byRemainder = fractions.keySet().stream()
                .sorted(Comparator.comparingDouble((String name) -> parts.get(name) - total * fractions.get(name))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        byRemainder.stream().limit(Math.max(0, left)).forEach(name -> parts.merge(name, 1L, Long::sum));
        return parts;
    }
}
