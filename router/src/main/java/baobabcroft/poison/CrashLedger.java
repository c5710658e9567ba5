package baobabcroft.poison;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Distinct endpoints that died under each request, as seen by all instances.
 *
 * <p>Merging is a union by request and endpoint with the latest time, so a crash that is heard several times counts
 * once. Thread-safe.
 */
public final class CrashLedger {
    private static final int POISON_ENDPOINTS = 2;

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
     * Returns an empty ledger.
     *
     * @param retentionMillis how long a crash counts, in milliseconds
     * @param maxRequests requests kept; the ones first seen go first
     * @return the ledger
     */
    public static CrashLedger create(long retentionMillis, int maxRequests) {
        return create(retentionMillis, maxRequests, POISON_ENDPOINTS);
    }

    /**
     * Returns an empty ledger.
     *
     * @param retentionMillis how long a crash counts, in milliseconds
     * @param maxRequests requests kept; the ones first seen go first
     * @param poisonEndpoints distinct endpoints that must have died under a request
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
     * @param crash seen by this instance or told by another
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
     * Adds the crashes that another instance told.
     *
     * @param told its crashes
     */
    public void merge(Collection<Crash> told) {
        told.forEach(this::add);
    }

    /**
     * Returns whether a request must not be tried again.
     *
     * @param requestDigest digest of the request
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return true once enough distinct endpoints have died under it
     */
    public synchronized boolean isPoison(String requestDigest, long nowEpochMillis) {
        Map<String, Long> endpoints = crashes.getOrDefault(requestDigest, Map.of());
        long counted = endpoints.values().stream()
                .filter(atEpochMillis -> counts(atEpochMillis, nowEpochMillis))
                .count();
        return counted >= poisonEndpoints;
    }

    /**
     * Returns whether no crash was ever added.
     *
     * @return true if no request is suspect
     */
    public synchronized boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Returns the crashes that count, to tell other instances, and forgets the others.
     *
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch
     * @return the crashes
     */
    public synchronized ImmutableList<Crash> snapshot(long nowEpochMillis) {
        ImmutableList.Builder<Crash> snapshot = ImmutableList.builder();
        crashes.values().forEach(endpoints -> endpoints.values().removeIf(at -> !counts(at, nowEpochMillis)));
        crashes.values().removeIf(Map::isEmpty);
        crashes.forEach((digest, endpoints) ->
                endpoints.forEach((endpoint, at) -> snapshot.add(new Crash(digest, endpoint, at))));
        return snapshot.build();
    }

    private boolean counts(long atEpochMillis, long nowEpochMillis) {
        return nowEpochMillis - atEpochMillis < retentionMillis;
    }
}
