package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Evidence of all instances on all versions, by origin, so that each piece counts once however often it is heard.
 *
 * <p>Thread-safe; the lock is held for a few steps.
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
     * @param self name of this instance, another one after each start
     * @return the ledger
     */
    public static EvidenceLedger create(String self) {
        return new EvidenceLedger(checkNotNull(self));
    }

    /**
     * Counts an answer that this instance relayed.
     *
     * @param version the version that answered
     * @param outcome what it did
     */
    public synchronized void recordAnswer(VersionId version, AnswerOutcome outcome) {
        origins(version).merge(self, Evidence.NONE.plus(outcome), Evidence::plus);
    }

    /**
     * Counts a rating that this instance received.
     *
     * @param version the version whose answer was rated
     * @param rating the rating, from zero to one
     */
    public synchronized void recordRating(VersionId version, double rating) {
        origins(version).merge(self, Evidence.NONE.plusRating(rating), Evidence::plus);
    }

    /**
     * Takes another instance's counts. Its own counts told back to it are ignored.
     *
     * @param report what it told
     */
    public synchronized void merge(EvidenceReport report) {
        if (!report.origin().equals(self)) {
            origins(report.version()).merge(report.origin(), report.evidence(), Evidence::latest);
        }
    }

    /**
     * Returns all counts known, of this instance and others, to tell other instances.
     *
     * @return one report an origin and version
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
     * @return the sum over all origins
     */
    public synchronized Evidence total(VersionId version) {
        return evidence.getOrDefault(version, Map.of()).values().stream().reduce(Evidence.NONE, Evidence::plus);
    }

    /**
     * Forgets versions that the rules no longer name.
     *
     * @param versions the versions that stay
     */
    public synchronized void retain(Collection<VersionId> versions) {
        evidence.keySet().retainAll(versions);
    }

    private Map<String, Evidence> origins(VersionId version) {
        return evidence.computeIfAbsent(version, key -> new HashMap<>());
    }
}
