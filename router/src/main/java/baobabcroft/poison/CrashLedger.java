package baobabcroft.poison;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Distinct endpoints that crashed on each request, as reported by all instances.
 *
 * <p>Merging is a union by request and endpoint that keeps the latest time, so a crash that is reported several times
 * counts once. Thread-safe.
 */
public final class CrashLedger {
    private static final int DEFAULT_POISON_ENDPOINTS = 2;

    private final long retentionMillis;
    private final int maxRequests;
    private final int poisonEndpoints;
    private final Map<String, Map<String, Long>> crashes = new LinkedHashMap<>();

    private CrashLedger(long retentionMillis, int maxRequests, int poisonEndpoints) {
        this.retentionMillis = retentionMillis;
        this.maxRequests = maxRequests;
        this.poisonEndpoints = poisonEndpoints;
    }

    /**
     * Returns an empty ledger with the default threshold of two distinct endpoints.
     *
     * @param retentionMillis how long a crash counts, in milliseconds; must be positive
     * @param maxRequests limit on the number of requests kept; the one added first is evicted first
     * @return the ledger
     */
    public static CrashLedger create(long retentionMillis, int maxRequests) {
        return create(retentionMillis, maxRequests, DEFAULT_POISON_ENDPOINTS);
    }

    /**
     * Returns an empty ledger.
     *
     * @param retentionMillis how long a crash counts, in milliseconds; must be positive
     * @param maxRequests limit on the number of requests kept; the one added first is evicted first
     * @param poisonEndpoints number of distinct endpoints that must have crashed on a request for it to be poison
     * @return the ledger
     */
    public static CrashLedger create(long retentionMillis, int maxRequests, int poisonEndpoints) {
        checkArgument(retentionMillis > 0, "retentionMillis not positive: %s", retentionMillis);
        checkArgument(maxRequests > 0, "maxRequests not positive: %s", maxRequests);
        checkArgument(poisonEndpoints > 0, "poisonEndpoints not positive: %s", poisonEndpoints);
        return new CrashLedger(retentionMillis, maxRequests, poisonEndpoints);
    }

    /**
     * Adds a crash.
     *
     * @param crash detected by this instance or reported by another
     */
    public synchronized void add(Crash crash) {
        crashes.computeIfAbsent(crash.requestDigest(), digest -> new HashMap<>())
                .merge(crash.endpoint(), crash.atEpochMillis(), Math::max);
        if (crashes.size() > maxRequests) {
            Iterator<String> oldest = crashes.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Adds crashes that another instance reported.
     *
     * @param reported the crashes
     */
    public void merge(Collection<Crash> reported) {
        reported.forEach(this::add);
    }

    /**
     * Returns whether a request is poison and must not be retried.
     *
     * @param requestDigest digest of the request
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return true if enough distinct endpoints have crashed on it within the retention time
     */
    public synchronized boolean isPoison(String requestDigest, long nowEpochMillis) {
        Map<String, Long> endpoints = crashes.getOrDefault(requestDigest, Map.of());
        long counted = endpoints.values().stream()
                .filter(atEpochMillis -> isWithinRetention(atEpochMillis, nowEpochMillis))
                .count();
        return counted >= poisonEndpoints;
    }

    /**
     * Returns whether the ledger is empty.
     *
     * @return true if no crash is held, not even an expired one that is still to be removed
     */
    public synchronized boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Returns the crashes within the retention time, to be sent to other instances, and removes the expired ones.
     *
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return the unexpired crashes
     */
    public synchronized ImmutableList<Crash> snapshot(long nowEpochMillis) {
        ImmutableList.Builder<Crash> snapshot = ImmutableList.builder();
        crashes.values()
                .forEach(endpoints -> endpoints.values().removeIf(at -> !isWithinRetention(at, nowEpochMillis)));
        crashes.values().removeIf(Map::isEmpty);
        crashes.forEach((digest, endpoints) ->
                endpoints.forEach((endpoint, at) -> snapshot.add(new Crash(digest, endpoint, at))));
        return snapshot.build();
    }

    private boolean isWithinRetention(long atEpochMillis, long nowEpochMillis) {
        return nowEpochMillis - atEpochMillis < retentionMillis;
    }
}
