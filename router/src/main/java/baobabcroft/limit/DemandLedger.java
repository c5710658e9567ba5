package baobabcroft.limit;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Demand of all instances by time slot, from which the shares of the limits are computed.
 *
 * <p>The shares of a slot are computed from the reports of an earlier slot, which all instances have received by then.
 * All compute the same shares from the same reports, so the shares add up to the limit. Not thread-safe.
 */
final class DemandLedger {
    static final long SLOT_MILLIS = 1_000;
    static final long REPORT_LAG_SLOTS = 2;

    private static final long RETAINED_SLOTS = 4;
    private static final double SMOOTHING = 0.5;
    private static final double MIN_EVEN_SHARE = 0.05;
    private static final double NEGLIGIBLE_DEMAND = 1e-3;

    private final String self;
    private final Map<String, Double> current = new HashMap<>();
    private final TreeMap<Long, Map<String, DemandReport>> reports = new TreeMap<>();
    private ImmutableMap<String, Double> smoothed = ImmutableMap.of();
    private ImmutableSortedSet<String> live;
    private long slot;

    DemandLedger(String self) {
        this.self = self;
        this.live = ImmutableSortedSet.of(self);
    }

    void setLive(ImmutableSortedSet<String> instances) {
        live = instances;
    }

    void count(String account) {
        current.merge(account, 1.0, Double::sum);
    }

    void addReport(DemandReport report) {
        reports.computeIfAbsent(report.slot(), key -> new HashMap<>()).putIfAbsent(report.origin(), report);
    }

    Optional<DemandReport> ownReport(long reportedSlot) {
        return Optional.ofNullable(reports.getOrDefault(reportedSlot, Map.of()).get(self));
    }

    /** Adds the own reports of the slots that have ended, and drops reports that are too old to be used. */
    void advanceTo(long nowSlot) {
        if (slot == 0) {
            slot = nowSlot;
        }
        slot = Math.max(slot, nowSlot - RETAINED_SLOTS);
        while (slot < nowSlot) {
            smooth();
            addReport(new DemandReport(self, slot, smoothed));
            slot++;
        }
        reports.headMap(nowSlot - RETAINED_SLOTS).clear();
    }

    private void smooth() {
        Map<String, Double> next = new HashMap<>(current);
        smoothed.forEach((account, demand) -> next.merge(account, 0.0, Double::sum));
        next.replaceAll(
                (account, observed) -> SMOOTHING * observed + (1 - SMOOTHING) * smoothed.getOrDefault(account, 0.0));
        next.values().removeIf(demand -> demand < NEGLIGIBLE_DEMAND);
        smoothed = ImmutableMap.copyOf(next);
        current.clear();
    }

    /**
     * Returns the share of each live instance in the limits of an account in the current slot; the shares add up to
     * one. While the total demand is below the limit, each instance gets its demand and an even part of the remainder.
     */
    Map<String, Double> fractions(String account, double limitPerSlot) {
        Map<String, DemandReport> received = reports.getOrDefault(slot - REPORT_LAG_SLOTS, Map.of());
        Map<String, Double> demands = new TreeMap<>();
        live.forEach(instance -> demands.put(instance, demand(received.get(instance), account)));
        double total =
                demands.values().stream().mapToDouble(Double::doubleValue).sum();
        double evenPart = 1.0 / live.size();
        if (!received.keySet().containsAll(live) || total == 0) {
            demands.replaceAll((instance, demand) -> evenPart);
            return demands;
        }
        double demandPart = Math.min(1 - MIN_EVEN_SHARE, total / Math.max(limitPerSlot, NEGLIGIBLE_DEMAND));
        demands.replaceAll((instance, demand) -> demandPart * demand / total + (1 - demandPart) * evenPart);
        return demands;
    }

    private static double demand(DemandReport report, String account) {
        return report == null ? 0 : report.demand(account);
    }
}
