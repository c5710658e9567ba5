package baobabcroft.standin.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Blocks of prompts that are in memory; the least recently used goes first. Not thread-safe. */
final class PrefixCache {
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /** Returns how many blocks from the first on are cached, and puts all of them in. */
    int use(List<Long> prompt) {
        int hits = 0;
        while (hits < prompt.size() && blocks.containsKey(prompt.get(hits))) {
            hits++;
        }
        prompt.forEach(block -> blocks.put(block, true));
        trim();
        return hits;
    }

    private void trim() {
        var oldest = blocks.entrySet().iterator();
        while (blocks.size() > capacity) {
            Map.Entry<Long, Boolean> unused = oldest.next();
            oldest.remove();
        }
    }
}
