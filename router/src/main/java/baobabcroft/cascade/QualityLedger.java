package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;
import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * Ratings of all instances by version and kind of request. They are kept by origin, so that a report that is received
 * several times counts once.
 *
 * <p>Thread-safe; no method holds the lock for long.
 */
public final class QualityLedger {
    private final String self;
    private final Map<Key, Map<String, QualityEvidence>> evidence = new HashMap<>();

    private record Key(VersionId version, RequestKind kind) {}

    private QualityLedger(String self) {
        this.self = self;
    }

    /**
     * Returns an empty ledger.
     *
     * @param self origin name of this instance; must differ after each start, because its sums start again from zero
     * @return the ledger
     */
    public static QualityLedger create(String self) {
        return new QualityLedger(checkNotNull(self));
    }

    /**
     * Adds a rating of an answer of this instance.
     *
     * @param version the version whose answer was rated
     * @param kind the kind of request
     * @param rating the rating, from zero to one
     * @param target the rating below which an answer misses the target
     */
    public synchronized void addRating(VersionId version, RequestKind kind, double rating, double target) {
        evidenceByOrigin(new Key(version, kind)).merge(self, QualityEvidence.of(rating, target), QualityEvidence::plus);
    }

    /**
     * Merges the ratings of another instance. Ignores reports that originate from this instance.
     *
     * @param report the cumulative ratings of the other instance
     */
    public synchronized void merge(QualityReport report) {
        if (!report.origin().equals(self)) {
            evidenceByOrigin(new Key(report.version(), report.kind()))
                    .merge(report.origin(), report.evidence(), QualityEvidence::latest);
        }
    }

    /**
     * Returns the sums of this instance and of all others, for propagation to other instances.
     *
     * @return one report for each origin, version and kind
     */
    public synchronized ImmutableList<QualityReport> reports() {
        ImmutableList.Builder<QualityReport> reports = ImmutableList.builder();
        evidence.forEach((key, origins) -> origins.forEach(
                (origin, sums) -> reports.add(new QualityReport(origin, key.version(), key.kind(), sums))));
        return reports.build();
    }

    /**
     * Returns the combined evidence of all instances.
     *
     * @param version the version
     * @param kind the kind of request
     * @return the sum over all origins
     */
    public synchronized QualityEvidence total(VersionId version, RequestKind kind) {
        return evidence.getOrDefault(new Key(version, kind), Map.of()).values().stream()
                .reduce(QualityEvidence.NONE, QualityEvidence::plus);
    }

    private Map<String, QualityEvidence> evidenceByOrigin(Key key) {
        return evidence.computeIfAbsent(key, unused -> new HashMap<>());
    }
}
