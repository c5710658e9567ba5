package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Evidence of all instances on all versions, kept by origin so that a report that is received repeatedly counts once.
 *
 * <p>Thread-safe; the lock is held only for short in-memory operations.
 */
public final class EvidenceLedger {
    private final String self;
    private final Map<VersionId, Map<String, Evidence>> evidence = new TreeMap<>();

    private EvidenceLedger(String self) {
        this.self = self;
    }

    /**
     * Returns an empty ledger.
     *
     * @param self name of this instance, unique to each of its starts
     * @return the ledger
     */
    public static EvidenceLedger create(String self) {
        return new EvidenceLedger(checkNotNull(self));
    }

    /**
     * Counts an answer relayed by this instance.
     *
     * @param version the version that answered
     * @param outcome whether the request failed or was slow
     */
    public synchronized void recordAnswer(VersionId version, AnswerOutcome outcome) {
        origins(version).merge(self, Evidence.NONE.plus(outcome), Evidence::plus);
    }

    /**
     * Counts a rating received by this instance.
     *
     * @param version the version whose answer was rated
     * @param rating the rating, from zero to one
     */
    public synchronized void recordRating(VersionId version, double rating) {
        origins(version).merge(self, Evidence.NONE.plusRating(rating), Evidence::plus);
    }

    /**
     * Merges the counts of another instance. Counts of this instance that another one sends back are ignored.
     *
     * @param report the counts received
     */
    public synchronized void merge(EvidenceReport report) {
        if (!report.origin().equals(self)) {
            origins(report.version()).merge(report.origin(), report.evidence(), Evidence::latest);
        }
    }

    /**
     * Returns the counts of all known origins, to be sent to other instances.
     *
     * @return one report for each origin and version
     */
    public synchronized ImmutableList<EvidenceReport> reports() {
        ImmutableList.Builder<EvidenceReport> reports = ImmutableList.builder();
        evidence.forEach((version, origins) ->
                origins.forEach((origin, counts) -> reports.add(new EvidenceReport(origin, version, counts))));
        return reports.build();
    }

    /**
     * Returns the evidence of all instances on a version.
     *
     * @param version the version
     * @return the sum over all origins, {@link Evidence#NONE} if there is none
     */
    public synchronized Evidence total(VersionId version) {
        return evidence.getOrDefault(version, Map.of()).values().stream().reduce(Evidence.NONE, Evidence::plus);
    }

    /**
     * Removes the evidence on versions that are no longer in the rules.
     *
     * @param versions the versions to keep
     */
    public synchronized void retain(Collection<VersionId> versions) {
        evidence.keySet().retainAll(versions);
    }

    private Map<String, Evidence> origins(VersionId version) {
        return evidence.computeIfAbsent(version, key -> new HashMap<>());
    }
}
