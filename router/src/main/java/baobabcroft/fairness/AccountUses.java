package baobabcroft.fairness;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * What client accounts use of services: the requests of this instance, and those of others as reported in notices.
 * Reports that are too old are ignored. Not thread-safe.
 */
public final class AccountUses {
    /** Age above which a report is ignored, in milliseconds: the same as for the loads in the same notices. */
    private static final long MAX_AGE_MILLIS = 3_000;
    /**
     * Accounts in a notice at most, those that use most. With these and the loads of 62 endpoints, a notice fits into
     * one datagram of 1,472 bytes; accounts that are left out are far below their shares.
     */
    private static final int MAX_REPORTED = 24;

    private final LongSupplier nowMillis;
    private final Map<String, Map<AccountSubject, AccountUse>> ownByService = new HashMap<>();
    private final Map<String, Report> byInstance = new HashMap<>();
    private final Map<String, Report> byFailureDomain = new HashMap<>();

    private record Report(long sequence, long receivedAtMillis, ImmutableMap<AccountSubject, AccountUse> uses) {}

    private AccountUses(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    /**
     * Returns an instance without any uses.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @return the empty uses
     */
    public static AccountUses create(LongSupplier nowMillis) {
        return new AccountUses(checkNotNull(nowMillis));
    }

    /** Counts a change of what this instance's requests of an account use. */
    void addOwn(String service, AccountSubject subject, AccountUse change) {
        ownByService.computeIfAbsent(service, unused -> new HashMap<>()).merge(subject, change, (before, added) -> {
            AccountUse sum = before.plus(added);
            return sum.inFlight() == 0 ? null : sum;
        });
    }

    /**
     * Replaces the report of an instance of this failure domain, unless a newer one was received.
     *
     * @param instance name of the instance
     * @param sequence sequence number of the notice
     * @param uses what its requests use
     */
    public void updateInstance(String instance, long sequence, Map<AccountSubject, AccountUse> uses) {
        Report last = byInstance.get(instance);
        if (last == null || last.sequence() < sequence) {
            byInstance.put(instance, new Report(sequence, nowMillis.getAsLong(), ImmutableMap.copyOf(uses)));
        }
    }

    /**
     * Replaces the report of another failure domain.
     *
     * @param failureDomain name of the failure domain
     * @param uses the sums over its instances
     */
    public void updateFailureDomain(String failureDomain, Map<AccountSubject, AccountUse> uses) {
        byFailureDomain.put(failureDomain, new Report(0, nowMillis.getAsLong(), ImmutableMap.copyOf(uses)));
    }

    /** Returns what this instance's requests use of the selected services. */
    ImmutableMap<AccountSubject, AccountUse> own(Predicate<String> services) {
        Map<AccountSubject, AccountUse> uses = new HashMap<>();
        ownByService.forEach((service, own) -> {
            if (!own.isEmpty() && services.test(service)) {
                uses.putAll(own);
            }
        });
        return largest(uses);
    }

    /** Returns what the requests of this failure domain use of the selected services. */
    ImmutableMap<AccountSubject, AccountUse> ownDomain(Predicate<String> services) {
        Map<AccountSubject, AccountUse> uses = new HashMap<>(own(services));
        addFresh(byInstance, uses);
        return largest(uses);
    }

    /** Returns what the requests of all instances use, as far as it is not nothing. */
    Map<AccountSubject, AccountUse> of(Set<AccountSubject> subjects) {
        Map<AccountSubject, AccountUse> uses = new HashMap<>();
        ownByService.values().forEach(uses::putAll);
        addFresh(byInstance, uses);
        addFresh(byFailureDomain, uses);
        uses.keySet().retainAll(subjects);
        return uses;
    }

    private void addFresh(Map<String, Report> reports, Map<AccountSubject, AccountUse> sum) {
        long oldestMillis = nowMillis.getAsLong() - MAX_AGE_MILLIS;
        reports.values().removeIf(report -> report.receivedAtMillis() < oldestMillis);
        reports.values().forEach(report -> report.uses().forEach((key, use) -> sum.merge(key, use, AccountUse::plus)));
    }

    private static ImmutableMap<AccountSubject, AccountUse> largest(Map<AccountSubject, AccountUse> uses) {
        return uses.entrySet().stream()
                .sorted((first, second) -> Integer.compare(
                        second.getValue().inFlight(), first.getValue().inFlight()))
                .limit(MAX_REPORTED)
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
