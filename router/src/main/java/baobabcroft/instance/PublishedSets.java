package baobabcroft.instance;

import com.google.common.collect.ImmutableSetMultimap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * Sets of endpoints by name, as an instance publishes them. Keeps the names that were added to last. Not thread-safe.
 */
final class PublishedSets {
    private final int maxNames;
    private final Map<String, Set<String>> sets = new LinkedHashMap<>();

    PublishedSets(int maxNames) {
        this.maxNames = maxNames;
    }

    void add(String name, String endpoint) {
        Set<String> endpoints = sets.containsKey(name) ? sets.remove(name) : new LinkedHashSet<>();
        endpoints.add(endpoint);
        sets.put(name, endpoints);
        while (sets.size() > maxNames) {
            var oldest = sets.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Keeps the pairs that fulfil a condition. */
    void retain(BiPredicate<String, String> condition) {
        sets.forEach((name, endpoints) -> endpoints.removeIf(endpoint -> !condition.test(name, endpoint)));
        sets.values().removeIf(Set::isEmpty);
    }

    ImmutableSetMultimap<String, String> snapshot() {
        ImmutableSetMultimap.Builder<String, String> snapshot = ImmutableSetMultimap.builder();
        sets.forEach(snapshot::putAll);
        return snapshot.build();
    }
}
