package baobabcroft.standin.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** LRU cache of prompt blocks. Not thread-safe. */
final class PrefixCache {
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /** Returns the number of leading blocks that are cached, and caches all blocks of the prompt. */
    int lookUpAndInsert(List<Long> prompt) {
        int hits = 0;
        while (hits < prompt.size() && blocks.containsKey(prompt.get(hits))) {
            hits++;
        }
        prompt.forEach(block -> blocks.put(block, true));
        evictExcess();
        return hits;
    }

    private void evictExcess() {
        var oldest = blocks.entrySet().iterator();
        while (blocks.size() > capacity) {
            Map.Entry<Long, Boolean> unused = oldest.next();
            oldest.remove();
        }
    }
}
