package baobabcroft.soak;

import com.google.common.collect.ImmutableList;

/**
 * What a run shows of one promise.
 *
 * @param promise the promise
 * @param tried how often it was put to the test
 * @param broken one line for each time that it was broken
 */
record Verdict(Promise promise, long tried, ImmutableList<String> broken) {
    boolean isBroken() {
        return !broken.isEmpty();
    }

    @Override
    public String toString() {
        String result = isBroken() ? "BROKEN " + broken.size() : tried == 0 ? "not tried" : "held";
        return String.format("%-13s %-10s tried %6d  %s", promise, result, tried, promise.text());
    }
}
