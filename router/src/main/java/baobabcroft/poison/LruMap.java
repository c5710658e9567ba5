package baobabcroft.poison;

import java.util.LinkedHashMap;
import java.util.Map;

/** Maps of limited size that evict the least recently used entry. */
final class LruMap {
    private LruMap() {}

    static <V> Map<String, V> create(int maxSize) {
        return new LinkedHashMap<>(16, 0.75F, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxSize;
            }
        };
    }
}
