package baobabcroft.poison;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Crashes of endpoints by the prompt parts of requests that they were about to answer, as observed by all instances.
 *
 * <p>Every shared part of such a request is a suspect of the crash. A part that crashes endpoints is never answered, so
 * an answer to a request with the part clears it of all crashes known by then. Crashes that a part with more crashes
 * explains do not count against the others. Instances only ever add suspicions and clearances, so they agree in
 * whichever order they learn of them. Not thread-safe.
 */
public final class PromptPartLedger {
    /** Crashed endpoints, without an answer since, from which a part that was never answered is not sent any more. */
    private static final int POISON_ENDPOINTS = 4;
    /**
     * Answers that each raise the limit by one. While many endpoints crash, all parts of the requests next to the
     * crashing ones go without an answer for a while.
     */
    private static final int MAX_COUNTED_ANSWERS = 8;
    /** Crashes by which a part must exceed one that was answered as often, to explain its crashes. */
    private static final int EXPLAINING_EXCESS = 2;
    /** Crashes whose suspects are kept. */
    private static final int MAX_CRASHES = 1_000;
    /**
     * Suspects of one crash. Each may be compared with each other one, so their number, which callers state, is
     * limited. An engine runs tens of requests with a few shared parts each.
     */
    private static final int MAX_SUSPECTS_OF_CRASH = 500;
    /** Crashes, and clearances, that are kept of one part; the latest. Parts in most requests are near most crashes. */
    private static final int MAX_CRASHES_OF_PART = 100;

    private final long retentionMillis;
    private final Map<String, Part> parts;
    /** Parts suspected of each crash, by incarnation of the endpoint; in the order of the crashes. */
    private final Map<String, Set<String>> suspectsByCrash;

    /** What is known of one part. */
    private static final class Part {
        private final Map<String, Long> crashedAtMillis = LruMap.create(MAX_CRASHES_OF_PART);
        private final Set<String> cleared = Collections.newSetFromMap(LruMap.create(MAX_CRASHES_OF_PART));
        private int answers;

        private ImmutableSet<String> suspicions(long sinceMillis) {
            return crashedAtMillis.entrySet().stream()
                    .filter(crash -> crash.getValue() > sinceMillis && !cleared.contains(crash.getKey()))
                    .map(Map.Entry::getKey)
                    .collect(ImmutableSet.toImmutableSet());
        }

        private int limit() {
            return POISON_ENDPOINTS + answers;
        }
    }

    private PromptPartLedger(long retentionMillis, int maxParts) {
        this.retentionMillis = retentionMillis;
        this.parts = LruMap.create(maxParts);
        this.suspectsByCrash = LruMap.create(MAX_CRASHES);
    }

    /**
     * Returns an empty ledger.
     *
     * @param retentionMillis how long a crash counts, in milliseconds; must be positive
     * @param maxParts limit on the number of parts kept; the least recently used one is evicted first
     * @return the ledger
     */
    public static PromptPartLedger create(long retentionMillis, int maxParts) {
        checkArgument(retentionMillis > 0, "retentionMillis not positive: %s", retentionMillis);
        checkArgument(maxParts > 0, "maxParts not positive: %s", maxParts);
        return new PromptPartLedger(retentionMillis, maxParts);
    }

    /**
     * Adds a crash. It does not count if the part was or will be cleared of it, or if the crash has many suspects
     * already.
     *
     * @param part id of a part of a request that the endpoint was about to answer
     * @param incarnation the endpoint, with what distinguishes its starts
     * @param nowMillis monotonic clock, in milliseconds
     */
    public void addCrash(String part, String incarnation, long nowMillis) {
        Set<String> suspects = suspectsByCrash.computeIfAbsent(incarnation, unused -> new HashSet<>());
        if (suspects.size() < MAX_SUSPECTS_OF_CRASH || suspects.contains(part)) {
            Part suspect = parts.computeIfAbsent(part, unused -> new Part());
            suspect.crashedAtMillis.putIfAbsent(incarnation, nowMillis);
            suspects.add(part);
        }
    }

    /**
     * Adds an answer to a request with a part, which clears the part of the crashes known so far.
     *
     * @param part id of the part
     * @return the endpoints of whose crashes the part was cleared now
     */
    public ImmutableSet<String> addAnswer(String part) {
        Part known = parts.computeIfAbsent(part, unused -> new Part());
        known.answers = Math.min(known.answers + 1, MAX_COUNTED_ANSWERS);
        ImmutableSet<String> cleared = known.suspicions(Long.MIN_VALUE);
        known.cleared.addAll(cleared);
        return cleared;
    }

    /**
     * Adds a clearance by another instance.
     *
     * @param part id of the part
     * @param incarnation the endpoint of whose crash the part was cleared
     */
    public void addClearance(String part, String incarnation) {
        Part known = parts.computeIfAbsent(part, unused -> new Part());
        if (known.cleared.add(incarnation)) {
            known.answers = Math.min(known.answers + 1, MAX_COUNTED_ANSWERS);
        }
    }

    /**
     * Returns the number of crashes of which a part was suspected.
     *
     * @param part id of the part
     * @return the number of those kept, including crashes of which it was cleared
     */
    public int crashCount(String part) {
        Part known = parts.get(part);
        return known == null ? 0 : known.crashedAtMillis.size();
    }

    /**
     * Returns the crashes of which a part is suspected.
     *
     * @param part id of the part
     * @param nowMillis monotonic clock, in milliseconds
     * @return the endpoints that crashed within the retention time
     */
    public Set<String> suspicions(String part, long nowMillis) {
        Part known = parts.get(part);
        return known == null ? Set.of() : known.suspicions(nowMillis - retentionMillis);
    }

    /**
     * Returns whether a part may have caused a crash: it is suspected of this and of another one.
     *
     * @param incarnation the endpoint that crashed
     * @param nowMillis monotonic clock, in milliseconds
     * @return true if there is such a part
     */
    public boolean mayExplain(String incarnation, long nowMillis) {
        return suspectsByCrash.getOrDefault(incarnation, Set.of()).stream()
                .map(part -> suspicions(part, nowMillis))
                .anyMatch(crashes -> crashes.size() > 1 && crashes.contains(incarnation));
    }

    /**
     * Returns whether requests with a part must not be sent to any more endpoints.
     *
     * @param part id of the part
     * @param nowMillis monotonic clock, in milliseconds
     * @return true if enough endpoints have crashed on it, it was not answered since, and no other part explains them
     */
    public boolean isPoison(String part, long nowMillis) {
        Part known = parts.get(part);
        if (known == null || known.crashedAtMillis.size() < known.limit()) {
            return false;
        }
        Set<String> crashes = known.suspicions(nowMillis - retentionMillis);
        if (crashes.size() < known.limit()) {
            return false;
        }
        return !isExplained(known, crashes, nowMillis);
    }

    /**
     * Returns whether another part is more likely to have caused the crashes of a part: it was there at all of them,
     * and was answered less often, or as often and was there at more.
     */
    private boolean isExplained(Part part, Set<String> crashes, long nowMillis) {
        String anyCrash = crashes.iterator().next();
        return suspectsByCrash.getOrDefault(anyCrash, Set.of()).stream()
                .map(parts::get)
                .filter(cause -> cause != null && cause.answers <= part.answers)
                .anyMatch(cause -> {
                    int excess = cause.answers < part.answers ? 0 : EXPLAINING_EXCESS;
                    int leastCrashes = crashes.size() + excess;
                    if (cause.crashedAtMillis.size() < leastCrashes) {
                        return false;
                    }
                    Set<String> caused = cause.suspicions(nowMillis - retentionMillis);
                    return caused.size() >= leastCrashes && caused.containsAll(crashes);
                });
    }
}
