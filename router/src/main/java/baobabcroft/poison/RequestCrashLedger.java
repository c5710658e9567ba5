package baobabcroft.poison;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Crashes of endpoints and the requests that each of them held, as observed by all instances; tells which of these
 * requests are the cause.
 *
 * <p>Every request that was there is a suspect. One that crashes endpoints is never answered, so an answer clears a
 * request of all crashes known by then. A request that is suspected of several crashes is refused, unless requests that
 * are suspected of more were there at all of them. Such a refusal may still be wrong. After a while, which differs from
 * instance to instance, one attempt is allowed as a trial: an answer clears the request, and another crash confirms the
 * suspicion for the retention time. If other suspects were there, only the next trial does, after twice the time. A
 * request that was ever answered is never confirmed. Not thread-safe.
 */
public final class RequestCrashLedger {
    /** Crashed endpoints from which a request is refused; the contract allows three crashes. */
    private static final int POISON_ENDPOINTS = 3;
    /** Shortest time from the last crash to a trial, in milliseconds. */
    private static final long MIN_DOUBT_MILLIS = 20_000;
    /** Range of that time, in milliseconds, so that few instances try a crashing request before they hear of others. */
    private static final long DOUBT_RANGE_MILLIS = 40_000;
    /** Crashes whose suspects are kept. */
    private static final int MAX_CRASHES = 1_000;
    /** Crashes, and clearances, that are kept of one request; the latest. */
    private static final int MAX_CRASHES_OF_REQUEST = 100;

    private final long retentionMillis;
    private final DoubleSupplier random;
    private final Map<String, Suspect> suspects;
    /** Requests suspected of each crash, by incarnation of the endpoint. */
    private final Map<String, Set<String>> suspectsByCrash = LruMap.create(MAX_CRASHES);

    /** What is known of one request. */
    private static final class Suspect {
        private final Map<String, Long> crashedAtMillis = LruMap.create(MAX_CRASHES_OF_REQUEST);
        private final Set<String> cleared = Collections.newSetFromMap(LruMap.create(MAX_CRASHES_OF_REQUEST));
        private OptionalLong confirmedAtMillis = OptionalLong.empty();
        private long trialAtMillis;
        private boolean onTrial;
        /** Trials at this instance that ended with a crash and did not confirm the suspicion. */
        private int doubtfulTrials;

        private ImmutableSet<String> suspicions(long sinceMillis) {
            return crashedAtMillis.entrySet().stream()
                    .filter(crash -> crash.getValue() > sinceMillis && !cleared.contains(crash.getKey()))
                    .map(Map.Entry::getKey)
                    .collect(ImmutableSet.toImmutableSet());
        }
    }

    private RequestCrashLedger(long retentionMillis, int maxRequests, DoubleSupplier random) {
        this.retentionMillis = retentionMillis;
        this.random = random;
        this.suspects = LruMap.create(maxRequests);
    }

    /**
     * Returns an empty ledger.
     *
     * @param retentionMillis how long a crash counts, in milliseconds; must be positive
     * @param maxRequests limit on the number of requests kept; the least recently used one is evicted first
     * @param random source of numbers in [0, 1)
     * @return the ledger
     */
    public static RequestCrashLedger create(long retentionMillis, int maxRequests, DoubleSupplier random) {
        checkArgument(retentionMillis > 0, "retentionMillis not positive: %s", retentionMillis);
        checkArgument(maxRequests > 0, "maxRequests not positive: %s", maxRequests);
        return new RequestCrashLedger(retentionMillis, maxRequests, checkNotNull(random));
    }

    /**
     * Returns whether the ledger is empty.
     *
     * @return true if no request is known
     */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /**
     * Adds a crash that this instance has observed.
     *
     * @param digests digests of all requests whose connections to the endpoint were lost
     * @param incarnation the endpoint, with what distinguishes its starts
     * @param nowMillis monotonic clock, in milliseconds
     * @return the requests whose trials have ended with the crash, for {@link #confirm}
     */
    public ImmutableSet<String> addObserved(Collection<String> digests, String incarnation, long nowMillis) {
        ImmutableSet<String> tried = digests.stream().filter(this::isOnTrial).collect(ImmutableSet.toImmutableSet());
        digests.forEach(digest -> addCrash(digest, incarnation, nowMillis));
        return tried;
    }

    private boolean isOnTrial(String digest) {
        Suspect suspect = suspects.get(digest);
        return suspect != null && suspect.onTrial;
    }

    /**
     * Confirms the suspicion of a request whose trial has ended with a crash, unless it was answered or, in its first
     * trial, something else may have caused the crash. To be called once the other instances have reported theirs.
     *
     * @param digest digest of the request
     * @param incarnation the endpoint that crashed
     * @param otherCause whether something other than a request that is suspected of more may have caused the crash
     * @param nowMillis monotonic clock, in milliseconds
     * @return true if the suspicion is confirmed
     */
    public boolean confirm(String digest, String incarnation, boolean otherCause, long nowMillis) {
        Suspect suspect = suspects.computeIfAbsent(digest, unused -> new Suspect());
        boolean mayBeOther = otherCause
                || suspectsByCrash.getOrDefault(incarnation, Set.of()).stream()
                        .filter(other -> !other.equals(digest))
                        .anyMatch(other -> suspicions(other, nowMillis).size() > 1);
        if (mayBeOther && suspect.doubtfulTrials == 0) {
            suspect.doubtfulTrials++;
            return false;
        }
        addConfirmation(digest, nowMillis);
        return isConfirmed(suspect, nowMillis);
    }

    /** Returns whether there was another crash since the request is refused, as by a trial. */
    private boolean hasFailedTrial(String digest, long nowMillis) {
        return suspicions(digest, nowMillis).size() > POISON_ENDPOINTS;
    }

    /**
     * Adds a crash. It does not count if the request was or will be cleared of it.
     *
     * @param digest digest of a request whose connection to the endpoint was lost
     * @param incarnation the endpoint, with what distinguishes its starts
     * @param nowMillis monotonic clock, in milliseconds
     */
    public void addCrash(String digest, String incarnation, long nowMillis) {
        Suspect suspect = suspects.computeIfAbsent(digest, unused -> new Suspect());
        if (suspect.crashedAtMillis.putIfAbsent(incarnation, nowMillis) == null) {
            suspectsByCrash
                    .computeIfAbsent(incarnation, unused -> new HashSet<>())
                    .add(digest);
            postponeTrial(digest, suspect, nowMillis);
        }
    }

    private void postponeTrial(String digest, Suspect suspect, long nowMillis) {
        long delayMillis = MIN_DOUBT_MILLIS + (long) (random.getAsDouble() * DOUBT_RANGE_MILLIS);
        suspect.onTrial = false;
        suspect.trialAtMillis = nowMillis + (hasFailedTrial(digest, nowMillis) ? 2 : 1) * delayMillis;
    }

    /**
     * Adds that a trial of a request has ended with a crash, at this or another instance. Counts for nothing if the
     * request was answered.
     *
     * @param digest digest of the request
     * @param nowMillis monotonic clock, in milliseconds
     */
    public void addConfirmation(String digest, long nowMillis) {
        Suspect suspect = suspects.computeIfAbsent(digest, unused -> new Suspect());
        if (suspect.cleared.isEmpty() && !isConfirmed(suspect, nowMillis)) {
            suspect.confirmedAtMillis = OptionalLong.of(nowMillis);
        }
    }

    private boolean isConfirmed(Suspect suspect, long nowMillis) {
        return suspect.confirmedAtMillis.isPresent()
                && nowMillis - suspect.confirmedAtMillis.getAsLong() < retentionMillis;
    }

    /**
     * Adds an answer to a request, which clears the request of the crashes known so far.
     *
     * @param digest digest of the request
     * @return the endpoints of whose crashes the request was cleared now
     */
    public ImmutableSet<String> addAnswer(String digest) {
        Suspect suspect = suspects.get(digest);
        if (suspect == null) {
            return ImmutableSet.of();
        }
        ImmutableSet<String> cleared = suspect.suspicions(Long.MIN_VALUE);
        cleared.forEach(incarnation -> clear(suspect, incarnation));
        return cleared;
    }

    /**
     * Adds a clearance by another instance.
     *
     * @param digest digest of the request
     * @param incarnation the endpoint of whose crash the request was cleared
     */
    public void addClearance(String digest, String incarnation) {
        clear(suspects.computeIfAbsent(digest, unused -> new Suspect()), incarnation);
    }

    private static void clear(Suspect suspect, String incarnation) {
        if (suspect.cleared.add(incarnation)) {
            suspect.confirmedAtMillis = OptionalLong.empty();
            suspect.onTrial = false;
            suspect.doubtfulTrials = 0;
        }
    }

    /**
     * Returns the number of crashes of which a request was suspected.
     *
     * @param digest digest of the request
     * @return the number of those kept, including crashes of which it was cleared
     */
    public int crashCount(String digest) {
        Suspect suspect = suspects.get(digest);
        return suspect == null ? 0 : suspect.crashedAtMillis.size();
    }

    /**
     * Returns the crashes of which a request is suspected.
     *
     * @param digest digest of the request
     * @param nowMillis monotonic clock, in milliseconds
     * @return the endpoints that crashed within the retention time
     */
    public ImmutableSet<String> suspicions(String digest, long nowMillis) {
        Suspect suspect = suspects.get(digest);
        return suspect == null ? ImmutableSet.of() : suspect.suspicions(nowMillis - retentionMillis);
    }

    /**
     * Returns whether a request must not be sent to any more endpoints.
     *
     * @param digest digest of the request
     * @param nowMillis monotonic clock, in milliseconds
     * @return true if enough endpoints have crashed with it, it was not answered since, and no others explain them
     */
    public boolean isPoison(String digest, long nowMillis) {
        ImmutableSet<String> crashes = suspicions(digest, nowMillis);
        return crashes.size() >= POISON_ENDPOINTS && !isExplained(crashes, nowMillis);
    }

    /** Returns whether requests that are suspected of more crashes were there at all of the given ones. */
    private boolean isExplained(ImmutableSet<String> crashes, long nowMillis) {
        return crashes.stream().allMatch(crash -> suspectsByCrash.getOrDefault(crash, Set.of()).stream()
                .map(other -> suspicions(other, nowMillis))
                .anyMatch(others -> others.size() > crashes.size() && others.contains(crash)));
    }

    /**
     * Returns whether a request that has arrived may be sent to one endpoint. Grants a trial if one is due.
     *
     * @param digest digest of the request
     * @param nowMillis monotonic clock, in milliseconds
     * @return true if the request is not poison, or may be tried now
     */
    public boolean admit(String digest, long nowMillis) {
        if (!isPoison(digest, nowMillis)) {
            return true;
        }
        Suspect suspect = suspects.get(digest);
        if (isConfirmed(suspect, nowMillis) || nowMillis < suspect.trialAtMillis) {
            return false;
        }
        postponeTrial(digest, suspect, nowMillis);
        suspect.onTrial = true;
        return true;
    }
}
